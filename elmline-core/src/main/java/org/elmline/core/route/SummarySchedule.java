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
 * When an owner sends its summary to which entry: on a change that would alter a choice, and at a slow beat, never above
 * a byte budget. With more entries than the budget carries, each hears more rarely, those of the owner's region first;
 * entries with traffic hear in the answers to their requests anyway. Not thread-safe.
 */
public final class SummarySchedule {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double BURST_SECONDS = 2;
    private static final int STARVED_BEATS = 4;
    private static final double CHANGE_RATIO = 1.25;
    private static final int CHANGE_MILLIS = 50;

    private final HostRecord self;
    private final long beatNanos;
    private final double bytesPerSecond;
    private final Map<HostId, Sent> sent = new HashMap<>();
    private OwnerSummary announced;
    private long version;
    private double budget;
    private long filledAt;
    private boolean started;

    public SummarySchedule(HostRecord self, long beatMillis, double bytesPerSecond) {
        this.self = self;
        this.beatNanos = beatMillis * NANOS_PER_MILLI;
        this.bytesPerSecond = bytesPerSecond;
    }

    /**
     * The entries to send the summary to now.
     *
     * @param bytes size of the summary on the wire
     */
    public List<HostRecord> targets(OwnerSummary summary, int bytes, Collection<HostRecord> members, long now) {
        if (announced == null || changed(announced, summary)) {
            announced = summary;
            version++;
        }
        fill(now);
        sent.keySet()
                .removeIf(id -> members.stream().noneMatch(each -> each.id().equals(id)));
        List<HostRecord> targets = new ArrayList<>();
        for (HostRecord each : due(members, now)) {
            if (budget < bytes) {
                return targets;
            }
            budget -= bytes;
            sent.put(each.id(), new Sent(version, now));
            targets.add(each);
        }
        return targets;
    }

    /** Whether a choice between owners could come out differently. */
    static boolean changed(OwnerSummary before, OwnerSummary after) {
        if (!before.servers().equals(after.servers()) || !before.services().equals(after.services())) {
            return true;
        }
        if (before.models().size() != after.models().size()) {
            return true;
        }
        for (int i = 0; i < before.models().size(); i++) {
            if (changed(before.models().get(i), after.models().get(i))) {
                return true;
            }
        }
        return false;
    }

    private static boolean changed(ModelSummary before, ModelSummary after) {
        if (!before.model().equals(after.model()) || before.readyReplicas() != after.readyReplicas()) {
            return true;
        }
        for (LengthClass each : LengthClass.values()) {
            int low = Math.min(before.waitMillis(each), after.waitMillis(each));
            int high = Math.max(before.waitMillis(each), after.waitMillis(each));
            if (high > low * CHANGE_RATIO + CHANGE_MILLIS) {
                return true;
            }
        }
        return false;
    }

    private List<HostRecord> due(Collection<HostRecord> members, long now) {
        List<HostRecord> due = new ArrayList<>();
        for (HostRecord each : members) {
            Sent last = sent.get(each.id());
            boolean late = last == null || last.version() < version || now - last.at() >= beatNanos;
            if (late && !each.id().equals(self.id())) {
                due.add(each);
            }
        }
        due.sort(Comparator.comparing((HostRecord each) -> sent.containsKey(each.id()))
                .thenComparing(each -> !starved(each, now))
                .thenComparing(each -> !each.region().equals(self.region()))
                .thenComparing(each ->
                        sent.containsKey(each.id()) ? sent.get(each.id()).at() : 0)
                .thenComparing(HostRecord::id));
        return due;
    }

    /** Without this, entries of other regions would hear nothing while the near ones use up the budget. */
    private boolean starved(HostRecord host, long now) {
        Sent last = sent.get(host.id());
        return last != null && now - last.at() >= STARVED_BEATS * beatNanos;
    }

    private void fill(long now) {
        double most = bytesPerSecond * BURST_SECONDS;
        budget = !started ? most : Math.min(most, budget + (now - filledAt) / NANOS_PER_SECOND * bytesPerSecond);
        filledAt = now;
        started = true;
    }

    private record Sent(long version, long at) {}
}
