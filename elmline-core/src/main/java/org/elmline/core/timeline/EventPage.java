package org.elmline.core.timeline;

import java.util.List;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/**
 * The events of one process.
 *
 * @param dropped number of events overwritten since the start of the process; above 0, early events may be missing
 * @param events oldest first
 */
public record EventPage(HostId host, Incarnation incarnation, long dropped, List<StampedEvent> events) {
    public EventPage {
        events = List.copyOf(events);
    }
}
