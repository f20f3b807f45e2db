/** The entry and control roles as a library. */
package org.elmline.daemon;
