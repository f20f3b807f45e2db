package org.elmline.core.timeline;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/** Puts the events of many processes into one order: by hybrid time, which shows a cause before its effects. */
public final class TimelineMerge {
    /** Equal times are of unrelated events; the rest only makes the order the same on every merge. */
    private static final Comparator<StampedEvent> ORDER = Comparator.comparing(StampedEvent::time)
            .thenComparing(StampedEvent::host)
            .thenComparing(StampedEvent::incarnation)
            .thenComparing(StampedEvent::sequence);

    private TimelineMerge() {}

    /** The latest events asked for, oldest first, each once although several pages may hold it. */
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
