package org.elmline.core.registry;

/**
 * How far a control host's state has come, against which a poll is weighed.
 *
 * @param epoch start of the control host
 * @param serverVersion number of the newest change of backend servers
 * @param leavingVersion number of the newest change by which a server began to leave; somebody waits for it to spread
 * @param entryVersion number of the newest change of entries
 * @param routingVersion version of the newest routing table, -1 without one
 */
public record RegistryVersions(
        long epoch, long serverVersion, long leavingVersion, long entryVersion, long routingVersion) {}
