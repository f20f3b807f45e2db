package org.elmline.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;

import org.elmline.core.engine.CacheEvents;

/** Prefix-cache events as engines publish them: late, a share of them never. A lost event still uses up its number. */
public final class CacheEventLog {
    private static final int MOST_EVENTS = 50_000;
    private static final int MOST_ANSWERED = 5_000;

    private final long delayNanos;
    private final double lostShare;
    private final SplittableRandom random;
    private final Deque<Stamped> events = new ArrayDeque<>();
    private long sequence;

    private record Stamped(CacheEvents.Event event, long atNanos) {}

    public CacheEventLog(long delayNanos, double lostShare, long seed) {
        this.delayNanos = delayNanos;
        this.lostShare = lostShare;
        random = new SplittableRandom(seed);
    }

    public void add(long blockHash, boolean stored, long atNanos) {
        sequence++;
        if (random.nextDouble() < lostShare) {
            return;
        }
        events.addLast(new Stamped(new CacheEvents.Event(sequence, blockHash, stored), atNanos));
        if (events.size() > MOST_EVENTS) {
            events.removeFirst();
        }
    }

    /** Events published by now with a number above {@code sequence}, at most 5,000. */
    public CacheEvents after(long sequence, long nowNanos) {
        List<CacheEvents.Event> newestFirst = new ArrayList<>();
        Iterator<Stamped> fromNewest = events.descendingIterator();
        while (fromNewest.hasNext()) {
            Stamped each = fromNewest.next();
            if (each.event().sequence() <= sequence) {
                break;
            }
            if (each.atNanos() + delayNanos <= nowNanos) {
                newestFirst.add(each.event());
            }
        }
        Collections.reverse(newestFirst);
        List<CacheEvents.Event> answer = newestFirst.subList(0, Math.min(MOST_ANSWERED, newestFirst.size()));
        long last = answer.isEmpty() ? sequence : answer.get(answer.size() - 1).sequence();
        return new CacheEvents(answer, last);
    }
}
