package org.elmline.bench.timeline;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.RequestId;
import org.elmline.core.timeline.Event;
import org.elmline.core.timeline.EventRing;
import org.elmline.core.timeline.HybridClock;
import org.elmline.core.timeline.HybridTime;
import org.elmline.core.timeline.RequestEvent;
import org.elmline.core.timeline.WallClock;

/**
 * Measures clock reads, stamps, merges and records of events, each over many calls; the result is the median of several
 * rounds after a warm-up.
 */
public final class StampCostExperiment {
    private static final int ROUNDS = 9;
    private static final int WARM_UP_ROUNDS = 3;
    private static final int RING_EVENTS = 65_536;

    private final int threads;
    private final int callsPerRound;

    public StampCostExperiment(int threads, int callsPerRound) {
        this.threads = threads;
        this.callsPerRound = callsPerRound;
    }

    public StampCostResult run() throws InterruptedException {
        WallClock wall = System::currentTimeMillis;
        HybridClock clock = new HybridClock(wall);
        EventRing ring = new EventRing(HostId.of("bench"), Incarnation.of(1), clock, wall, RING_EVENTS);
        Event event = new RequestEvent.Finished(RequestId.of("request"), 1);
        HybridTime past = clock.now();
        return new StampCostResult(
                threads,
                median(wall::millis),
                median(() -> clock.now().value()),
                median(() -> clock.merge(past)),
                median(() -> {
                    ring.record(event);
                    return ring.recorded();
                }));
    }

    private double median(Operation operation) throws InterruptedException {
        for (int i = 0; i < WARM_UP_ROUNDS; i++) {
            round(operation);
        }
        double[] nanos = new double[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            nanos[i] = round(operation);
        }
        Arrays.sort(nanos);
        return nanos[ROUNDS / 2];
    }

    /** Mean nanoseconds per call as measured within each thread. */
    private double round(Operation operation) throws InterruptedException {
        CountDownLatch start = new CountDownLatch(1);
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < threads; i++) {
            Worker worker = new Worker(start, operation, callsPerRound);
            worker.start();
            workers.add(worker);
        }
        start.countDown();
        long nanos = 0;
        for (Worker worker : workers) {
            worker.join();
            nanos += worker.nanos;
        }
        return (double) nanos / threads / callsPerRound;
    }

    private interface Operation {
        long run();
    }

    private static final class Worker extends Thread {
        private final CountDownLatch start;
        private final Operation operation;
        private final int calls;
        private long nanos;
        private long sum;

        Worker(CountDownLatch start, Operation operation, int calls) {
            this.start = start;
            this.operation = operation;
            this.calls = calls;
        }

        @Override
        public void run() {
            try {
                start.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            long begin = System.nanoTime();
            for (int i = 0; i < calls; i++) {
                sum += operation.run();
            }
            nanos = System.nanoTime() - begin;
        }
    }
}
