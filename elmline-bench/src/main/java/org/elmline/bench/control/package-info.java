/** Cost of the control state: processor time, bytes and memory, measured in one process. */
package org.elmline.bench.control;
