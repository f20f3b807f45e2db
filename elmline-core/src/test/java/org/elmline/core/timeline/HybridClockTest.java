package org.elmline.core.timeline;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class HybridClockTest {
    private static final long START = 1_800_000_000_000L;

    /**
     * Guards against an effect stamped before its cause: messages pass between random hosts whose wall clocks differ
     * and step.
     */
    @Property(seed = "4711", tries = 300)
    void effectsComeAfterCauses(@ForAll @IntRange(min = 2, max = 6) int hosts, @ForAll @LongRange long seed) {
        Random random = new Random(seed);
        long[] wall = new long[hosts];
        List<HybridClock> clocks = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            int host = i;
            wall[i] = START + random.nextInt(100);
            clocks.add(new HybridClock(() -> wall[host]));
        }
        int at = 0;
        HybridTime cause = clocks.get(at).now();
        for (int step = 0; step < 200; step++) {
            wall[random.nextInt(hosts)] += random.nextInt(5) - 1;
            int to = random.nextInt(hosts);
            assertEquals(0, clocks.get(to).merge(cause));
            HybridTime effect = clocks.get(to).now();
            assertTrue(effect.compareTo(cause) > 0, cause + " then " + effect);
            cause = effect;
        }
    }

    @Test
    void followsWallClockWithoutMessages() {
        long[] wall = {START};
        HybridClock clock = new HybridClock(() -> wall[0]);
        assertEquals(HybridTime.of(START, 0), clock.now());
        assertEquals(HybridTime.of(START, 1), clock.now());
        wall[0] += 7;
        assertEquals(HybridTime.of(START + 7, 0), clock.now());
        wall[0] -= 5;
        assertEquals(HybridTime.of(START + 7, 1), clock.now());
    }

    @Test
    void fullCounterOverflowsIntoMilliseconds() {
        HybridClock clock = new HybridClock(() -> START);
        clock.merge(HybridTime.of(START, 65_535));
        assertEquals(HybridTime.of(START + 1, 1), clock.now());
    }

    /**
     * A host whose wall clock is set an hour ahead sends a message. If its time were merged, the stamps of all
     * processes would be wrong for an hour, and operators could not see when an event happened. The time must be
     * rejected and counted, and a time exactly at the bound must be merged.
     */
    @Test
    void rejectsTimeFurtherAheadThanBound() {
        HybridClock clock = new HybridClock(() -> START, 1_000);
        assertEquals(3_600_000, clock.merge(HybridTime.of(START + 3_600_000, 0)));
        assertEquals(1, clock.rejectedCount());
        assertEquals(START, clock.now().millis());
        assertEquals(0, clock.merge(HybridTime.of(START + 1_000, 0)));
        assertEquals(START + 1_000, clock.now().millis());
        assertEquals(1, clock.rejectedCount());
    }

    @Test
    void concurrentCallsReturnDistinctTimes() throws InterruptedException {
        int threads = 4;
        int each = 5_000;
        HybridClock clock = new HybridClock(() -> START);
        List<Set<HybridTime>> timesByThread = new ArrayList<>();
        List<Thread> running = new ArrayList<>();
        CountDownLatch start = new CountDownLatch(1);
        for (int i = 0; i < threads; i++) {
            Set<HybridTime> times = new HashSet<>();
            timesByThread.add(times);
            Thread thread = new Thread(() -> {
                awaitStart(start);
                for (int n = 0; n < each; n++) {
                    times.add(clock.now());
                }
            });
            thread.start();
            running.add(thread);
        }
        start.countDown();
        for (Thread thread : running) {
            thread.join();
        }
        Set<HybridTime> all = new HashSet<>();
        timesByThread.forEach(all::addAll);
        assertEquals(threads * each, all.size());
    }

    private static void awaitStart(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
