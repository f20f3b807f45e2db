package org.elmline.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
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
        List<CacheEvents.Event> answer = new ArrayList<>();
        long last = sequence;
        for (Stamped each : events) {
            if (each.atNanos() + delayNanos > nowNanos || answer.size() == MOST_ANSWERED) {
                break;
            }
            if (each.event().sequence() > sequence) {
                answer.add(each.event());
                last = each.event().sequence();
            }
        }
        return new CacheEvents(answer, last);
    }
}
