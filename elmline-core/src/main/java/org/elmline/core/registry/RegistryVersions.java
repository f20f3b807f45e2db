package org.elmline.core.registry;

/**
 * The versions of a control host's state, against which polls are compared.
 *
 * @param epoch identifies the start of the control host
 * @param serverVersion number of the latest change of backend servers
 * @param leavingVersion number of the latest change by which a server began to leave; the server waits until it has
 *     propagated
 * @param entryVersion number of the latest change of entries
 * @param expiryVersion number of the latest change of entries by which one expired
 * @param routingVersion version of the latest routing table, -1 without one
 * @param quarantineVersion number of the latest change of the quarantine
 * @param evacuationVersion number of the latest change of the evacuations, 0 without one
 * @param restrictionVersion number of the latest change of the quarantine by which calls are restricted or served again
 */
public record RegistryVersions(
        long epoch,
        long serverVersion,
        long leavingVersion,
        long entryVersion,
        long expiryVersion,
        long routingVersion,
        long quarantineVersion,
        long evacuationVersion,
        long restrictionVersion) {
    /** The versions where nothing was ever evacuated or restricted. */
    public RegistryVersions(
            long epoch,
            long serverVersion,
            long leavingVersion,
            long entryVersion,
            long expiryVersion,
            long routingVersion,
            long quarantineVersion) {
        this(epoch, serverVersion, leavingVersion, entryVersion, expiryVersion, routingVersion, quarantineVersion, 0);
    }

    /** The versions where nothing was ever restricted. */
    public RegistryVersions(
            long epoch,
            long serverVersion,
            long leavingVersion,
            long entryVersion,
            long expiryVersion,
            long routingVersion,
            long quarantineVersion,
            long evacuationVersion) {
        this(
                epoch,
                serverVersion,
                leavingVersion,
                entryVersion,
                expiryVersion,
                routingVersion,
                quarantineVersion,
                evacuationVersion,
                0);
    }
}
