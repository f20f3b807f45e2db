/** Measurements of the time line: how well each clock orders events, and the cost of stamps. */
package org.elmline.bench.timeline;
