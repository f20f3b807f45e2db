package org.elmline.bench.timeline;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.elmline.core.timeline.HybridClock;
import org.elmline.core.timeline.HybridTime;

/**
 * Counts, over simulated hosts with skewed and drifting clocks, how often the receipt of a message is ordered before
 * its sending: by wall clocks and by hybrid logical time. The same setup gives the same counts.
 */
public final class ClockOrderExperiment {
    private static final long START_MICROS = 1_800_000_000_000_000L;
    private static final double MAX_DRIFT = 50e-6;
    private static final int MICROS_PER_MILLI = 1_000;

    private final ClockOrderSetup setup;
    private final SplittableRandom random;
    private final List<Host> hosts = new ArrayList<>();
    private final PriorityQueue<Message> inFlight =
            new PriorityQueue<>(Comparator.comparingLong(Message::arrivalMicros));
    private long nowMicros;
    private int wallInversions;
    private int hybridInversions;
    private long maxAheadMillis;

    private ClockOrderExperiment(ClockOrderSetup setup) {
        this.setup = setup;
        this.random = new SplittableRandom(setup.seed());
        for (int i = 0; i < setup.hosts(); i++) {
            hosts.add(new Host());
        }
    }

    public static ClockOrderResult run(ClockOrderSetup setup) {
        return new ClockOrderExperiment(setup).run();
    }

    private ClockOrderResult run() {
        for (int sent = 0; sent < setup.messages(); sent++) {
            long next = nowMicros + (long) (-Math.log(1 - random.nextDouble()) * setup.meanGapMicros());
            deliverUntil(next);
            nowMicros = next;
            send();
        }
        deliverUntil(Long.MAX_VALUE);
        return new ClockOrderResult(setup, setup.messages(), wallInversions, hybridInversions, maxAheadMillis);
    }

    private void send() {
        Host from = hosts.get(random.nextInt(hosts.size()));
        Host to = hosts.get(random.nextInt(hosts.size()));
        long latency = (long) (setup.meanLatencyMicros() * (0.5 + random.nextDouble()));
        inFlight.add(new Message(nowMicros + latency, to, from.wallMicros(), from.clock.now()));
    }

    private void deliverUntil(long limitMicros) {
        while (!inFlight.isEmpty() && inFlight.peek().arrivalMicros() <= limitMicros) {
            Message message = inFlight.poll();
            nowMicros = message.arrivalMicros();
            receive(message);
        }
    }

    private void receive(Message message) {
        Host to = message.to();
        to.clock.merge(message.sentHybrid());
        HybridTime received = to.clock.now();
        if (to.wallMicros() < message.sentWallMicros()) {
            wallInversions++;
        }
        if (received.compareTo(message.sentHybrid()) <= 0) {
            hybridInversions++;
        }
        maxAheadMillis = Math.max(maxAheadMillis, received.millis() - to.wallMicros() / MICROS_PER_MILLI);
    }

    /** The clocks of one host; its wall clock has a constant skew and a constant drift. */
    private final class Host {
        private final double skewMicros = (2 * random.nextDouble() - 1) * setup.skewMillis() * MICROS_PER_MILLI;
        private final double drift = (2 * random.nextDouble() - 1) * MAX_DRIFT;
        private final HybridClock clock = new HybridClock(() -> wallMicros() / MICROS_PER_MILLI);

        long wallMicros() {
            return START_MICROS + nowMicros + (long) (skewMicros + nowMicros * drift);
        }
    }

    private record Message(long arrivalMicros, Host to, long sentWallMicros, HybridTime sentHybrid) {}
}
