/** Typed calls between elmline processes. */
package org.elmline.core.peer;
