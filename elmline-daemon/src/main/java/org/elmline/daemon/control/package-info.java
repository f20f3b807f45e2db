/**
 * The control role: serves the replicated state to entries and, on the leader, grants leases, decides tickets and
 * claims, and sends orders to engines.
 */
package org.elmline.daemon.control;
