/** The clock and the executors that every process has. */
package org.elmline.daemon.runtime;
