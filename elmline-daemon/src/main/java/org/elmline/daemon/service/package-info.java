/** Plain services: forwards calls to them, at most once where a call may not be repeated. */
package org.elmline.daemon.service;
