package org.elmline.core.ledger;

/**
 * How fast an engine reads prompts, from the answers it gave and from those it owes. Engines report their load late and
 * some report none at all, so the meter uses nothing that an engine says of itself but the announced speed, as a
 * starting value that fades in again when nothing is measured.
 *
 * <p>Answers given: work done over time busy, both halved every {@link #HALF_LIFE_NANOS}. Answers owed: while one prompt
 * waits, the engine can't have done more than all the work that was open when the prompt was placed or placed since;
 * that work over the time waited is a sound upper bound of its speed, in whatever order it reads.
 */
final class SpeedMeter {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long HALF_LIFE_NANOS = 15_000_000_000L;
    private static final double DEFAULT_SPEED = 8_000;
    private static final double PRIOR_SECONDS = 0.5;
    private static final double SLOWEST = 1;

    private double announced = DEFAULT_SPEED;
    private double work;
    private double busySeconds;
    private int open;
    private long mark;
    private double bound = Double.MAX_VALUE;

    void announced(long tokensPerSecond) {
        announced = tokensPerSecond > 0 ? tokensPerSecond : DEFAULT_SPEED;
    }

    /** A prompt was placed. */
    void start(long now) {
        pass(now);
        open++;
    }

    /** The prompt was read; its first token came. */
    void finish(long cost, long now) {
        pass(now);
        open--;
        work += cost;
    }

    /** The prompt was given up before its first token. */
    void abandon(long now) {
        pass(now);
        open--;
    }

    /** Sets the upper bound that the oldest prompt still waiting gives; {@link Double#MAX_VALUE} for none. */
    void bound(double tokensPerSecond) {
        bound = tokensPerSecond;
    }

    double tokensPerSecond() {
        double measured = (announced * PRIOR_SECONDS + work) / (PRIOR_SECONDS + busySeconds);
        return Math.max(SLOWEST, Math.min(measured, bound));
    }

    private void pass(long now) {
        long elapsed = Math.max(0, now - mark);
        mark = now;
        double kept = Math.pow(0.5, (double) elapsed / HALF_LIFE_NANOS);
        work *= kept;
        busySeconds *= kept;
        if (open > 0) {
            busySeconds += elapsed / NANOS_PER_SECOND;
        }
    }
}
