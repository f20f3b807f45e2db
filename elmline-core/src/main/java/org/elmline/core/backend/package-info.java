/** Announcements and membership of backend servers. */
package org.elmline.core.backend;
