package org.elmline.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A hashed timing wheel (Varghese and Lauck, 1987): setting and cancelling a deadline take constant time, independent
 * of their number. A deadline never expires early, and at most one tick late if {@link #expire} is called once per
 * tick. Times are in nanoseconds. Not thread-safe.
 *
 * @param <K> key of a deadline
 */
public final class TimingWheel<K> {
    private final long tickNanos;
    private final List<Map<K, Long>> slots;
    private final Map<K, Long> deadlines = new HashMap<>();
    private long nextTick;
    private boolean started;

    public TimingWheel(long tickNanos, int slotCount) {
        if (tickNanos < 1 || slotCount < 1) {
            throw new IllegalArgumentException(
                    "tickNanos and slotCount must be at least 1, got " + tickNanos + " and " + slotCount);
        }
        this.tickNanos = tickNanos;
        this.slots = new ArrayList<>(slotCount);
        for (int i = 0; i < slotCount; i++) {
            slots.add(new LinkedHashMap<>());
        }
    }

    /** Sets or moves a deadline; one that has already passed expires at the next call of {@link #expire}. */
    public void set(K key, long deadline, long now) {
        cancel(key);
        start(now);
        long effective = Math.max(deadline, nextTick * tickNanos);
        deadlines.put(key, effective);
        slot(effective).put(key, effective);
    }

    /** Removes a deadline; returns false if there is none. */
    public boolean cancel(K key) {
        Long deadline = deadlines.remove(key);
        if (deadline == null) {
            return false;
        }
        slot(deadline).remove(key);
        return true;
    }

    /** Removes and returns the keys whose deadline has passed, in order of ticks. */
    public List<K> expire(long now) {
        List<K> expired = new ArrayList<>();
        start(now);
        long lastTick = Math.floorDiv(now, tickNanos);
        // After a pause longer than one turn of the wheel, each slot needs only one visit.
        long firstTick = Math.max(nextTick, lastTick - slots.size());
        for (long tick = firstTick; tick <= lastTick; tick++) {
            expireSlot(tick, now, expired);
        }
        nextTick = lastTick;
        return expired;
    }

    public int size() {
        return deadlines.size();
    }

    private void start(long now) {
        if (!started) {
            nextTick = Math.floorDiv(now, tickNanos);
            started = true;
        }
    }

    private void expireSlot(long tick, long now, List<K> expired) {
        Iterator<Map.Entry<K, Long>> each = slots.get(index(tick)).entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<K, Long> entry = each.next();
            if (entry.getValue() <= now) {
                expired.add(entry.getKey());
                deadlines.remove(entry.getKey());
                each.remove();
            }
        }
    }

    private Map<K, Long> slot(long deadline) {
        return slots.get(index(Math.floorDiv(deadline, tickNanos)));
    }

    private int index(long tick) {
        return (int) Math.floorMod(tick, (long) slots.size());
    }
}
