/**
 * Paths from an entry to backend servers: which servers it reaches itself, and through which other entry it sends to
 * those that it does not reach.
 */
package org.elmline.core.path;
