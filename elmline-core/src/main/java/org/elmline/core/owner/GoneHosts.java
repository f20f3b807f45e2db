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
 * The starts of hosts that hold grants here and have been missing from the member list for a time. Missing for a moment
 * proves nothing: an entry may place a request before the list that shows it arrives here, and cancelling then would
 * break a live caller's stream. A list that shows it comes with the next renewal of this host's lease.
 */
final class GoneHosts {
    private final long graceNanos;
    private final Map<Start, Long> missingSince = new HashMap<>();
    private final Set<Start> gone = new HashSet<>();

    GoneHosts(long graceNanos) {
        this.graceNanos = graceNanos;
    }

    /** Looks again which of the starts that hold grants are missing. */
    void look(Collection<Start> holders, LiveHosts live, long now) {
        Set<Start> missing = new HashSet<>();
        for (Start each : holders) {
            if (live.gone(each.host(), each.incarnation())) {
                missing.add(each);
            }
        }
        missingSince.keySet().retainAll(missing);
        gone.clear();
        for (Start each : missing) {
            long since = missingSince.computeIfAbsent(each, start -> now);
            if (now - since >= graceNanos) {
                gone.add(each);
            }
        }
    }

    boolean any() {
        return !gone.isEmpty();
    }

    boolean includes(Grant grant) {
        return gone.contains(new Start(grant.host(), grant.incarnation()));
    }

    /** One start of a host. */
    record Start(HostId host, Incarnation incarnation) {}
}
