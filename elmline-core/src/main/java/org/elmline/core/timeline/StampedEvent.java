package org.elmline.core.timeline;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/**
 * An event with the process and the time of its recording.
 *
 * @param host the process that recorded it
 * @param incarnation which start of that process
 * @param sequence counts the events of that process from 0
 * @param time orders events across processes
 * @param wallMillis wall clock of that process in milliseconds since 1970; for display, not for ordering
 */
public record StampedEvent(
        HostId host, Incarnation incarnation, long sequence, HybridTime time, long wallMillis, Event event) {}
