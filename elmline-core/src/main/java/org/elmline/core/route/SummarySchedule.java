package org.elmline.core.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.elmline.core.common.HostId;
import org.elmline.core.common.LengthClass;
import org.elmline.core.control.HostRecord;

/**
 * Decides when an owner sends its summary to which entry: on a change that could alter a choice, and at a fixed
 * interval, within a byte budget. With more entries than the budget covers, each receives fewer summaries, those of the
 * owner's region first; entries with traffic receive the state in the answers to their requests anyway. Not
 * thread-safe.
 */
public final class SummarySchedule {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double BURST_SECONDS = 2;
    private static final int STARVATION_INTERVALS = 4;
    private static final double SIGNIFICANT_WAIT_RATIO = 1.25;
    private static final int SIGNIFICANT_WAIT_MILLIS = 50;

    private final HostRecord self;
    private final long intervalNanos;
    private final double bytesPerSecond;
    private final Map<HostId, LastSend> lastSends = new HashMap<>();
    private OwnerSummary lastChangedSummary;
    private long version;
    private double budgetBytes;
    private long refilledAtNanos;
    private boolean budgetInitialised;

    public SummarySchedule(HostRecord self, long intervalMillis, double bytesPerSecond) {
        this.self = self;
        this.intervalNanos = intervalMillis * NANOS_PER_MILLI;
        this.bytesPerSecond = bytesPerSecond;
    }

    /**
     * Returns the entries to send the summary to now and records them as sent.
     *
     * @param bytes size of the summary on the wire
     */
    public List<HostRecord> targets(OwnerSummary summary, int bytes, Collection<HostRecord> members, long now) {
        if (lastChangedSummary == null || hasChanged(lastChangedSummary, summary)) {
            lastChangedSummary = summary;
            version++;
        }
        refillBudget(now);
        lastSends.keySet().removeIf(id -> members.stream()
                .noneMatch(each -> each.id().equals(id)));
        List<HostRecord> targets = new ArrayList<>();
        for (HostRecord each : dueMembers(members, now)) {
            if (budgetBytes < bytes) {
                return targets;
            }
            budgetBytes -= bytes;
            lastSends.put(each.id(), new LastSend(version, now));
            targets.add(each);
        }
        return targets;
    }

    /** Whether the change could alter a choice between owners. */
    static boolean hasChanged(OwnerSummary before, OwnerSummary after) {
        if (!before.servers().equals(after.servers()) || !before.services().equals(after.services())) {
            return true;
        }
        if (before.models().size() != after.models().size()) {
            return true;
        }
        for (int i = 0; i < before.models().size(); i++) {
            if (hasChanged(before.models().get(i), after.models().get(i))) {
                return true;
            }
        }
        return false;
    }

    private static boolean hasChanged(ModelSummary before, ModelSummary after) {
        if (!before.model().equals(after.model()) || before.readyReplicas() != after.readyReplicas()) {
            return true;
        }
        for (LengthClass each : LengthClass.values()) {
            int low = Math.min(before.waitMillis(each), after.waitMillis(each));
            int high = Math.max(before.waitMillis(each), after.waitMillis(each));
            if (high > low * SIGNIFICANT_WAIT_RATIO + SIGNIFICANT_WAIT_MILLIS) {
                return true;
            }
        }
        return false;
    }

    private List<HostRecord> dueMembers(Collection<HostRecord> members, long now) {
        List<HostRecord> due = new ArrayList<>();
        for (HostRecord each : members) {
            LastSend last = lastSends.get(each.id());
            boolean late = last == null || last.version() < version || now - last.atNanos() >= intervalNanos;
            if (late && !each.id().equals(self.id())) {
                due.add(each);
            }
        }
        due.sort(Comparator.comparing((HostRecord each) -> lastSends.containsKey(each.id()))
                .thenComparing(each -> !isStarved(each, now))
                .thenComparing(each -> !each.region().equals(self.region()))
                .thenComparing(each -> lastSends.containsKey(each.id())
                        ? lastSends.get(each.id()).atNanos()
                        : 0)
                .thenComparing(HostRecord::id));
        return due;
    }

    /**
     * Whether the last summary to an entry is {@link #STARVATION_INTERVALS} intervals old or older. Such an entry comes
     * before those of the owner's region, which could otherwise use up the whole budget.
     */
    private boolean isStarved(HostRecord host, long now) {
        LastSend last = lastSends.get(host.id());
        return last != null && now - last.atNanos() >= STARVATION_INTERVALS * intervalNanos;
    }

    private void refillBudget(long now) {
        double maxBytes = bytesPerSecond * BURST_SECONDS;
        budgetBytes = !budgetInitialised
                ? maxBytes
                : Math.min(maxBytes, budgetBytes + (now - refilledAtNanos) / NANOS_PER_SECOND * bytesPerSecond);
        refilledAtNanos = now;
        budgetInitialised = true;
    }

    private record LastSend(long version, long atNanos) {}
}
