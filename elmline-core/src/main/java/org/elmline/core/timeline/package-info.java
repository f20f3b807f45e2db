/** Typed events in a bounded ring and their ordering over processes. */
package org.elmline.core.timeline;
