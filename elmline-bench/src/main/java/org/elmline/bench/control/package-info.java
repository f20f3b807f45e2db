/** What the control state costs: processor time, bytes and memory, measured in one process. */
package org.elmline.bench.control;
