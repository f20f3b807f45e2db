package org.elmline.core.timeline;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/** Merges the events of several processes in the order of hybrid time, which puts a cause before its effects. */
public final class TimelineMerge {
    /** Events with equal times are unrelated; the other keys only make the order the same on every merge. */
    private static final Comparator<StampedEvent> ORDER = Comparator.comparing(StampedEvent::time)
            .thenComparing(StampedEvent::host)
            .thenComparing(StampedEvent::incarnation)
            .thenComparing(StampedEvent::sequence);

    private TimelineMerge() {}

    /**
     * Returns the latest events that match the query, oldest first. An event that several pages hold is returned once.
     */
    public static List<StampedEvent> merge(Collection<EventPage> pages, EventQuery query) {
        Set<Identity> seen = new HashSet<>();
        List<StampedEvent> merged = new ArrayList<>();
        for (EventPage page : pages) {
            for (StampedEvent event : page.events()) {
                if (query.matches(event) && seen.add(Identity.of(event))) {
                    merged.add(event);
                }
            }
        }
        merged.sort(ORDER);
        return List.copyOf(merged.subList(Math.max(0, merged.size() - query.limit()), merged.size()));
    }

    private record Identity(HostId host, Incarnation incarnation, long sequence) {
        static Identity of(StampedEvent event) {
            return new Identity(event.host(), event.incarnation(), event.sequence());
        }
    }
}
