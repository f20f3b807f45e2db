package org.elmline.core.path;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.elmline.core.common.HostId;
import org.elmline.core.registry.EntryRecord;

/**
 * Chooses the entry that forwards a request to a server which this entry has no path to: any that serves, at random, so
 * that the requests of many entries without a path spread evenly over the others. One that could not forward is left
 * out for a while. Times named {@code now} are monotonic, in nanoseconds. Not safe for concurrent use.
 */
public final class RelayChoice {
    /** Time for which an entry that has no path either, or does not answer, is left out. */
    private static final long UNFIT_NANOS = Duration.ofSeconds(2).toNanos();

    /** Time for which an entry that forwards as much as it may is left out: some requests end within it. */
    private static final long BUSY_NANOS = Duration.ofMillis(200).toNanos();

    private final HostId self;
    private final RandomGenerator random;
    private final Map<HostId, Long> leftOutUntilNanos = new HashMap<>();

    public RelayChoice(HostId self, RandomGenerator random) {
        this.self = self;
        this.random = random;
    }

    /**
     * Chooses an entry; empty when none is left.
     *
     * @param entries all live entries
     * @param tried entries that were chosen before for the same request
     */
    public Optional<EntryRecord> choose(Collection<EntryRecord> entries, Set<HostId> tried, long now) {
        leftOutUntilNanos.values().removeIf(each -> now - each >= 0);
        List<EntryRecord> candidates = new ArrayList<>();
        for (EntryRecord each : entries) {
            boolean leftOut = leftOutUntilNanos.containsKey(each.host()) || tried.contains(each.host());
            if (each.serving() && !each.host().equals(self) && !leftOut) {
                candidates.add(each);
            }
        }
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    /** Records that an entry has no path either, or does not answer. */
    public void recordUnfit(HostId entry, long now) {
        leftOutUntilNanos.put(entry, now + UNFIT_NANOS);
    }

    /** Records that an entry forwards as many requests as it may. */
    public void recordBusy(HostId entry, long now) {
        leftOutUntilNanos.put(entry, now + BUSY_NANOS);
    }
}
