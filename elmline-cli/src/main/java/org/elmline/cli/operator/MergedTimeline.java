package org.elmline.cli.operator;

import java.util.List;

import org.elmline.core.timeline.EventPage;
import org.elmline.core.timeline.StampedEvent;

/**
 * The merged events of many hosts.
 *
 * @param events causes before effects
 * @param pages what each host answered
 * @param missingHosts why a host's events are not among them, one line for each such host
 */
record MergedTimeline(List<StampedEvent> events, List<EventPage> pages, List<String> missingHosts) {
    /** Number of events that hosts had already overwritten. */
    long droppedEvents() {
        return pages.stream().mapToLong(EventPage::dropped).sum();
    }
}
