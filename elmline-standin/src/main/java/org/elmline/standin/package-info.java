/** Common parts of the stand-ins for the users' backend servers: HTTP server, announcements and answer text. */
package org.elmline.standin;
