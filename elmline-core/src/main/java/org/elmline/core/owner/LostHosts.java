package org.elmline.core.owner;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.route.Grant;
import org.elmline.core.stream.LiveHosts;

/**
 * Host incarnations that hold grants here and have been missing from the member list for the grace period. A short
 * absence is no loss: an entry may place a request before a member list that includes it arrives here, and cancelling
 * then would break a live caller's stream. A list that includes it comes with the next renewal of this host's lease.
 * Not thread-safe.
 */
final class LostHosts {
    private final long graceNanos;
    private final Map<HostIncarnation, Long> missingSince = new HashMap<>();
    private final Set<HostIncarnation> lost = new HashSet<>();

    LostHosts(long graceNanos) {
        this.graceNanos = graceNanos;
    }

    /** Determines which of the incarnations that hold grants are missing. */
    void update(Collection<HostIncarnation> holders, LiveHosts live, long now) {
        Set<HostIncarnation> missing = new HashSet<>();
        for (HostIncarnation each : holders) {
            if (live.hasEnded(each.host(), each.incarnation())) {
                missing.add(each);
            }
        }
        missingSince.keySet().retainAll(missing);
        lost.clear();
        for (HostIncarnation each : missing) {
            long since = missingSince.computeIfAbsent(each, start -> now);
            if (now - since >= graceNanos) {
                lost.add(each);
            }
        }
    }

    boolean hasLost() {
        return !lost.isEmpty();
    }

    boolean isHolderLost(Grant grant) {
        return lost.contains(new HostIncarnation(grant.host(), grant.incarnation()));
    }

    /** One incarnation of a host. */
    record HostIncarnation(HostId host, Incarnation incarnation) {}
}
