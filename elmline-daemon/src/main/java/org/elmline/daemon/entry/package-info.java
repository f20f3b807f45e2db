/** The entry role: holds a lease, owns backend servers, and takes calls. */
package org.elmline.daemon.entry;
