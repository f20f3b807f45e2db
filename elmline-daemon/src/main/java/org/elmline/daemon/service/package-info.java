/** Plain services: passing calls on, at most once where a call may not be repeated. */
package org.elmline.daemon.service;
