/** The words and JSON shapes of the stand-in engines' HTTP interface, shared by both of its ends. */
package org.elmline.wire.engine;
