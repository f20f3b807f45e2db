/**
 * A control host for callers, backend servers and operators with a protocol of their own: it keeps the routing table in
 * the replicated log, receives heartbeats of backend servers, and provides callers with the addresses of entries.
 */
package org.elmline.daemon.coordinator;
