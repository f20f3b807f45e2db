/**
 * What an entry does with backend servers: receives their announcements, owns some of them, and keeps connections to
 * them.
 */
package org.elmline.daemon.backend;
