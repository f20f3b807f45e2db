package org.elmline.core.timeline;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/**
 * The latest events of one process. Recording takes no lock and never waits; the oldest event is overwritten and counted
 * as dropped.
 */
public final class EventRing {
    private final HostId host;
    private final Incarnation incarnation;
    private final HybridClock clock;
    private final WallClock wallClock;
    private final AtomicReferenceArray<StampedEvent> slots;
    private final AtomicLong recorded = new AtomicLong();

    /** @param capacity events kept, at least 1 */
    public EventRing(HostId host, Incarnation incarnation, HybridClock clock, WallClock wallClock, int capacity) {
        this.host = host;
        this.incarnation = incarnation;
        this.clock = clock;
        this.wallClock = wallClock;
        this.slots = new AtomicReferenceArray<>(capacity);
    }

    public void record(Event event) {
        long sequence = recorded.getAndIncrement();
        put(new StampedEvent(host, incarnation, sequence, clock.now(), wallClock.millis(), event));
    }

    /** Events recorded since the start of the process. */
    public long recorded() {
        return recorded.get();
    }

    /** Events that were overwritten. */
    public long dropped() {
        return Math.max(0, recorded.get() - slots.length());
    }

    /** The latest events that a query asks for, oldest first, at most as many as its limit. */
    public EventPage page(EventQuery query) {
        Deque<StampedEvent> found = new ArrayDeque<>();
        long end = recorded.get();
        long start = Math.max(0, end - slots.length());
        for (long sequence = end - 1; sequence >= start && found.size() < query.limit(); sequence--) {
            StampedEvent event = slots.get(slot(sequence));
            if (event != null && event.sequence() == sequence && query.matches(event)) {
                found.addFirst(event);
            }
        }
        return new EventPage(host, incarnation, dropped(), List.copyOf(found));
    }

    /**
     * A thread that is held up between taking its number and storing would put an event a whole lap old over a newer
     * one; the newer one stays.
     */
    private void put(StampedEvent event) {
        int slot = slot(event.sequence());
        while (true) {
            StampedEvent present = slots.get(slot);
            if (present != null && present.sequence() > event.sequence()) {
                return;
            }
            if (slots.compareAndSet(slot, present, event)) {
                return;
            }
        }
    }

    private int slot(long sequence) {
        return (int) (sequence % slots.length());
    }
}
