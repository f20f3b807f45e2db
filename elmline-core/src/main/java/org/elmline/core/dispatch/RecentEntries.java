package org.elmline.core.dispatch;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.elmline.core.common.HostId;

/**
 * The entries that are live or were so a short time ago. The shares of cold servers are given to these: on each side of
 * a partition the entries of the other side seem to be lost, and if both sides passed on their shares, the servers would
 * get twice the rate. Times are monotonic, in nanoseconds. Not safe for concurrent use.
 */
public final class RecentEntries {
    /** Time for which a lost entry keeps its shares. Longer than most partitions; the shares of few are lost by it. */
    private static final long RETENTION_NANOS = Duration.ofMinutes(5).toNanos();

    private final Map<HostId, Long> lastSeenNanos = new LinkedHashMap<>();
    private List<HostId> all = List.of();
    private Set<HostId> lost = Set.of();

    /** Records the entries that are live now. Returns those that are live or were so recently. */
    public List<HostId> update(Collection<HostId> live, long now) {
        boolean changed = false;
        for (HostId each : live) {
            changed |= lastSeenNanos.put(each, now) == null;
        }
        changed |= lastSeenNanos.values().removeIf(each -> now - each >= RETENTION_NANOS);
        all = changed ? List.copyOf(lastSeenNanos.keySet()) : all;
        Set<HostId> notLive = new HashSet<>(all);
        notLive.removeAll(Set.copyOf(live));
        lost = notLive.equals(lost) ? lost : Set.copyOf(notLive);
        return all;
    }

    /** Those of the entries of the last update that were not live any more. */
    public Set<HostId> lost() {
        return lost;
    }
}
