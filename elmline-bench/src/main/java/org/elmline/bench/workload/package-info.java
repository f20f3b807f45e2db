/** Requests like those of the users' organisations, drawn with fixed seeds. */
package org.elmline.bench.workload;
