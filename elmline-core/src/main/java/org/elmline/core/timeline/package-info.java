/**
 * The time line: typed events in a bounded ring per process, stamped so that the merged events of all processes show a
 * cause before its effects.
 */
package org.elmline.core.timeline;
