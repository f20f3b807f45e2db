package org.elmline.core.timeline;

import java.util.List;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/**
 * One process's events.
 *
 * @param dropped events overwritten since the start of the process; a time line with any may lack early ones
 * @param events oldest first
 */
public record EventPage(HostId host, Incarnation incarnation, long dropped, List<StampedEvent> events) {
    public EventPage {
        events = List.copyOf(events);
    }
}
