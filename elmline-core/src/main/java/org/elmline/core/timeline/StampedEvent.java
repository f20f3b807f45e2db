package org.elmline.core.timeline;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/**
 * An event with where and when it happened.
 *
 * @param host the process that recorded it
 * @param incarnation which start of that process
 * @param sequence counts the events of that process from 0
 * @param time orders events over processes
 * @param wallMillis the process's wall clock, in milliseconds since 1970; for people, not for ordering
 */
public record StampedEvent(
        HostId host, Incarnation incarnation, long sequence, HybridTime time, long wallMillis, Event event) {}
