package org.elmline.bench.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * What an owner believes of one engine's prefix cache: events come half a second late, and after a lost one all that was
 * known is forgotten.
 */
final class CacheView {
    private static final long DELAY_NANOS = 500_000_000L;
    private static final double LOST = 0.000_2;

    private final SplittableRandom random;
    private final Deque<Event> coming = new ArrayDeque<>();
    private final Set<Long> believed = new HashSet<>();

    private record Event(long hash, boolean stored, long visibleNanos) {}

    CacheView(long seed) {
        random = new SplittableRandom(seed);
    }

    void published(long hash, boolean stored, long atNanos) {
        coming.addLast(new Event(hash, stored, atNanos + DELAY_NANOS));
    }

    int leadingBlocks(List<Long> hashes, long nowNanos) {
        takeVisible(nowNanos);
        int hits = 0;
        while (hits < hashes.size() && believed.contains(hashes.get(hits))) {
            hits++;
        }
        return hits;
    }

    private void takeVisible(long nowNanos) {
        while (!coming.isEmpty() && coming.peekFirst().visibleNanos() <= nowNanos) {
            Event event = coming.removeFirst();
            if (random.nextDouble() < LOST) {
                believed.clear();
            } else if (event.stored()) {
                believed.add(event.hash());
            } else {
                believed.remove(event.hash());
            }
        }
    }
}
