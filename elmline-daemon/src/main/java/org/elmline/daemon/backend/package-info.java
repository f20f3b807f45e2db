/** What an entry does with backend servers: hears their announcements, owns some, and keeps connections to them. */
package org.elmline.daemon.backend;
