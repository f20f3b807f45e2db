/** Paths and JSON bodies of the stand-in engines' HTTP interface, shared by its client and server. */
package org.elmline.wire.engine;
