package org.elmline.daemon.control;

import java.util.List;

import org.elmline.core.common.Address;

/**
 * Status of one control host in the replicated log.
 *
 * @param leaseUntilNanos end of the leader's own lease on the monotonic clock; after it another leader may exist
 * @param leader peer address of the leader, null when none is known
 * @param controlHosts peer addresses of all control hosts, the leader first when it is known
 */
public record LeadershipStatus(
        boolean isLeader, long term, long leaseUntilNanos, Address leader, List<Address> controlHosts) {
    public LeadershipStatus {
        controlHosts = List.copyOf(controlHosts);
    }
}
