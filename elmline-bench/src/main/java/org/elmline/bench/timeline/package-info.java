/** Measurements of the time line: which clock orders events, and what it costs. */
package org.elmline.bench.timeline;
