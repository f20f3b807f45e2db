/**
 * The time line: typed events in a bounded ring per process. Their stamps order the merged events of all processes so
 * that a cause precedes its effects.
 */
package org.elmline.core.timeline;
