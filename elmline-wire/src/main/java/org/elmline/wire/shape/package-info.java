/**
 * Reads and writes records by their components over Jackson's token streams. Does what Jackson's data binding does for the
 * messages between processes with a fraction of its classes, which a process that has just started would have to load.
 */
package org.elmline.wire.shape;
