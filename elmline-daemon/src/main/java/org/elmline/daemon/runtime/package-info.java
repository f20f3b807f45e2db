/** What every process has: its clock, its workers and its connections to other processes. */
package org.elmline.daemon.runtime;
