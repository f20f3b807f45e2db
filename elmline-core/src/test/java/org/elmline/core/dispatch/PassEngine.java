package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.routing.BatchTiming;

/** Simulated engine that prefills and decodes in passes, with a clock of whole milliseconds. */
final class PassEngine {
    private final BatchTiming timing;
    private final List<Job> jobs = new ArrayList<>();
    private final List<Part> parts = new ArrayList<>();
    private List<Part> reading = List.of();
    private boolean writes;
    private double passEnds;
    private boolean inPass;

    /** A generation, with the times of its events as seen by its caller. */
    static final class Job {
        private final long promptTokens;
        private final double askedAt;
        private final int aimMillis;
        private final int gapMillis;
        private int eventsLeft;
        private int partsLeft;
        private double firstAt = -1;
        private double lastAt;
        private double longestPause;

        Job(long promptTokens, int events, double askedAt, int aimMillis, int gapMillis) {
            this.promptTokens = promptTokens;
            this.eventsLeft = events;
            this.askedAt = askedAt;
            this.aimMillis = aimMillis;
            this.gapMillis = gapMillis;
        }

        long promptTokens() {
            return promptTokens;
        }

        boolean begun() {
            return firstAt >= 0;
        }

        boolean done() {
            return eventsLeft == 0;
        }

        boolean onTime() {
            return done() && firstAt - askedAt <= aimMillis && longestPause <= gapMillis;
        }

        private void event(double now) {
            if (firstAt < 0) {
                firstAt = now;
            } else {
                longestPause = Math.max(longestPause, now - lastAt);
            }
            lastAt = now;
            eventsLeft--;
        }
    }

    private record Part(Job job, double millis) {}

    PassEngine(BatchTiming timing) {
        this.timing = timing;
    }

    /** Starts a generation, of whose prompt this engine prefills one of so many parts. */
    void answer(Job job, int members) {
        job.partsLeft = members;
        jobs.add(job);
        help(job, members);
    }

    /** Adds a part of the prompt of another engine's generation. */
    void help(Job job, int members) {
        parts.add(new Part(job, timing.prefillMillis(job.promptTokens) / members));
    }

    int running() {
        return jobs.size();
    }

    /** Milliseconds of prefill pending here, without the time of decoding between its parts. */
    double waitingMillis(double now) {
        double waiting = inPass ? Math.max(0, passEnds - now) : 0;
        for (Part each : parts) {
            waiting += each.millis();
        }
        return waiting;
    }

    /** Advances the simulation to the given time, one millisecond after the previous call. */
    void step(double now) {
        if (inPass && now >= passEnds) {
            endPass(now);
        }
        if (!inPass) {
            beginPass(now);
        }
    }

    private void beginPass(double now) {
        reading = List.copyOf(parts);
        parts.clear();
        int writers = 0;
        long context = 0;
        for (Job each : jobs) {
            if (each.begun() || each.partsLeft == 0) {
                writers++;
                context += each.promptTokens;
            }
        }
        writes = writers > 0;
        double millis = writes ? timing.passMillis(writers, context) : 0;
        for (Part each : reading) {
            millis += each.millis();
        }
        inPass = writes || !reading.isEmpty();
        passEnds = now + millis;
    }

    private void endPass(double now) {
        inPass = false;
        reading.forEach(each -> each.job().partsLeft--);
        if (writes) {
            for (Job each : jobs) {
                if (each.partsLeft == 0) {
                    each.event(now);
                }
            }
        }
        jobs.removeIf(Job::done);
    }
}
