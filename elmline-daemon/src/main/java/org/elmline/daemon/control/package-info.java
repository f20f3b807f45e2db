/**
 * The control role: serves the replicated state to entries and, on the leader, grants leases, decides tickets and
 * orders engines.
 */
package org.elmline.daemon.control;
