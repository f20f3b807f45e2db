/** Stand-in booking service that counts its calls, with configurable faults. */
package org.elmline.standin.service;
