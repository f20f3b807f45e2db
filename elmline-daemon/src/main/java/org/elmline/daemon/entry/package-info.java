/** The entry role: holds a lease, owns backend servers, and serves callers. */
package org.elmline.daemon.entry;
