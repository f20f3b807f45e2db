package org.elmline.bench.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * An owner's view of one engine's prefix cache. Events take effect half a second late; a lost event clears the view,
 * since later events can't restore what it is missing. Not thread-safe.
 */
final class DelayedCacheView {
    private static final long DELAY_NANOS = 500_000_000L;
    private static final double EVENT_LOSS_PROBABILITY = 0.000_2;

    private final SplittableRandom random;
    private final Deque<Event> pendingEvents = new ArrayDeque<>();
    private final Set<Long> visibleHashes = new HashSet<>();

    private record Event(long hash, boolean stored, long visibleNanos) {}

    DelayedCacheView(long seed) {
        random = new SplittableRandom(seed);
    }

    void publish(long hash, boolean stored, long atNanos) {
        pendingEvents.addLast(new Event(hash, stored, atNanos + DELAY_NANOS));
    }

    int leadingBlocks(List<Long> hashes, long nowNanos) {
        applyVisibleEvents(nowNanos);
        int hits = 0;
        while (hits < hashes.size() && visibleHashes.contains(hashes.get(hits))) {
            hits++;
        }
        return hits;
    }

    private void applyVisibleEvents(long nowNanos) {
        while (!pendingEvents.isEmpty() && pendingEvents.peekFirst().visibleNanos() <= nowNanos) {
            Event event = pendingEvents.removeFirst();
            if (random.nextDouble() < EVENT_LOSS_PROBABILITY) {
                visibleHashes.clear();
            } else if (event.stored()) {
                visibleHashes.add(event.hash());
            } else {
                visibleHashes.remove(event.hash());
            }
        }
    }
}
