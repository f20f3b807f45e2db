package org.elmline.core.timeline;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/**
 * The latest events of one process, in a ring of fixed capacity. Recording takes no lock and never blocks; the oldest
 * event is overwritten and counted as dropped. Safe for use by several threads.
 */
public final class EventRing {
    private final HostId host;
    private final Incarnation incarnation;
    private final HybridClock clock;
    private final WallClock wallClock;
    private final AtomicReferenceArray<StampedEvent> slots;
    private final AtomicLong recorded = new AtomicLong();

    /** @param capacity number of events kept, at least 1 */
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

    /** Number of events recorded since the start of the process. */
    public long recorded() {
        return recorded.get();
    }

    /** Number of events that were overwritten. */
    public long dropped() {
        return Math.max(0, recorded.get() - slots.length());
    }

    /** Returns the latest events that match a query, oldest first, at most as many as its limit. */
    public EventPage page(EventQuery query) {
        Deque<StampedEvent> matching = new ArrayDeque<>();
        long end = recorded.get();
        long start = Math.max(0, end - slots.length());
        for (long sequence = end - 1; sequence >= start && matching.size() < query.limit(); sequence--) {
            StampedEvent event = slots.get(slot(sequence));
            if (event != null && event.sequence() == sequence && query.matches(event)) {
                matching.addFirst(event);
            }
        }
        return new EventPage(host, incarnation, dropped(), List.copyOf(matching));
    }

    /**
     * Stores an event unless its slot holds a newer one. A thread that is suspended between taking its sequence number
     * and storing would otherwise overwrite an event that was recorded a full round of the ring later.
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
