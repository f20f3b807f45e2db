package org.elmline.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;

import org.elmline.core.engine.CacheEvents;

/**
 * Prefix-cache events as real engines publish them: after a delay, and with a share of events lost. A lost event still
 * uses up its sequence number, so that a reader can detect the gap. Keeps the latest 50,000 events. Not thread-safe.
 */
public final class CacheEventLog {
    private static final int MAX_EVENTS = 50_000;
    private static final int MAX_EVENTS_PER_ANSWER = 5_000;

    private final long delayNanos;
    private final double lossRate;
    private final SplittableRandom random;
    private final Deque<TimedEvent> events = new ArrayDeque<>();
    private long sequence;

    private record TimedEvent(CacheEvents.Event event, long atNanos) {}

    public CacheEventLog(long delayNanos, double lossRate, long seed) {
        this.delayNanos = delayNanos;
        this.lossRate = lossRate;
        random = new SplittableRandom(seed);
    }

    public void add(long blockHash, boolean stored, long atNanos) {
        sequence++;
        if (random.nextDouble() < lossRate) {
            return;
        }
        events.addLast(new TimedEvent(new CacheEvents.Event(sequence, blockHash, stored), atNanos));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }

    /**
     * Events published by {@code nowNanos} with a sequence number above {@code sequence}, oldest first, at most 5,000.
     */
    public CacheEvents after(long sequence, long nowNanos) {
        List<CacheEvents.Event> newestFirst = new ArrayList<>();
        Iterator<TimedEvent> fromNewest = events.descendingIterator();
        while (fromNewest.hasNext()) {
            TimedEvent each = fromNewest.next();
            if (each.event().sequence() <= sequence) {
                break;
            }
            if (each.atNanos() + delayNanos <= nowNanos) {
                newestFirst.add(each.event());
            }
        }
        Collections.reverse(newestFirst);
        List<CacheEvents.Event> answer = newestFirst.subList(0, Math.min(MAX_EVENTS_PER_ANSWER, newestFirst.size()));
        long last = answer.isEmpty() ? sequence : answer.get(answer.size() - 1).sequence();
        return new CacheEvents(answer, last);
    }
}
