/**
 * Encodes and decodes records by their components over Jackson's token streams. For the messages between processes it
 * does what Jackson's data binding does with a fraction of the classes, all of which a process would have to load at
 * its start.
 */
package org.elmline.wire.shape;
