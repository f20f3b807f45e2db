/** Requests as the users' members send them, drawn with fixed seeds. */
package org.elmline.bench.workload;
