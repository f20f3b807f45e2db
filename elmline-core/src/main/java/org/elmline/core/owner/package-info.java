/**
 * The owner's side of one entry: it receives the announcements of its backend servers, admits and places requests on
 * its engines, and frees what a lost entry left behind. {@link org.elmline.core.owner.Owner} is the entry point.
 */
package org.elmline.core.owner;
