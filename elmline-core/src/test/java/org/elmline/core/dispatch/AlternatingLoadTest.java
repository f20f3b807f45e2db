package org.elmline.core.dispatch;

import org.elmline.core.dispatch.AlternatingLoad.Deployment;
import org.elmline.core.dispatch.AlternatingLoad.Kind;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Calls answered in time under the users' heaviest load, on 21 engines, with the dispatcher and with a baseline. */
class AlternatingLoadTest {
    private static final int ENGINES = 21;
    private static final long SEED = 4711;

    /** The smaller of the users' deployments, and its part of the calls. */
    private static final int SMALL_SITE_ENGINES = 16;

    private static final double SMALL_SITE_LOAD = 0.77;
    private static final int SEEDS = 4;
    private static final double LARGEST_FRACTION = 0.1;

    private static AlternatingLoad load() {
        return new AlternatingLoad(Deployment.LARGE_ENGINES, ENGINES, 1, SEED);
    }

    private static String describe(AlternatingLoad load) {
        StringBuilder text = new StringBuilder();
        for (Kind each : Kind.values()) {
            text.append(each).append(' ').append(load.onTimeFraction(each)).append(' ');
        }
        return text.toString();
    }

    /**
     * Parts in time with the engine that has the fewest running calls: 0.80 of questions, 0.87 of rosters and 0.52 of
     * audits; with the dispatcher 0.99, 1.0 and 0.91. The bounds lie a little below.
     */
    @Test
    void answersShortAndLongCallsInTime() {
        AlternatingLoad baseline = load().runFewestRunning();
        AlternatingLoad dispatched = load().runDispatched();
        String results = "dispatched " + describe(dispatched) + ", fewest running " + describe(baseline);
        assertTrue(dispatched.onTimeFraction(Kind.QUESTION) >= 0.97, results);
        assertTrue(dispatched.onTimeFraction(Kind.ROSTER) >= 0.97, results);
        assertTrue(dispatched.onTimeFraction(Kind.AUDIT) >= 0.88, results);
        assertTrue(dispatched.onTimeFraction(Kind.AUDIT) > baseline.onTimeFraction(Kind.AUDIT) + 0.2, results);
        assertTrue(dispatched.onTimeFraction(Kind.QUESTION) > baseline.onTimeFraction(Kind.QUESTION), results);
    }

    /**
     * Guards against the largest prompts being late although engines are free half of the time: on 16 engines there are
     * hardly ever twelve that all decode no answers with short gaps, and such a prompt waited until it was late. Of the
     * largest tenth 0.51 were in time (12 seeds); with groups that may disturb answers much smaller than the prompt it
     * is 0.86. Of the questions 0.98 are in time either way.
     */
    @Test
    void answersLargestPromptsInTime() {
        double largest = 0;
        double questions = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            AlternatingLoad load = new AlternatingLoad(
                            Deployment.LARGE_ENGINES, SMALL_SITE_ENGINES, SMALL_SITE_LOAD, seed)
                    .runDispatched();
            largest += load.onTimeFractionBySize(Kind.AUDIT, 0, LARGEST_FRACTION) / SEEDS;
            questions += load.onTimeFraction(Kind.QUESTION) / SEEDS;
        }
        assertTrue(largest >= 0.75, "largest tenth of audits in time: " + largest);
        assertTrue(questions >= 0.97, "questions in time: " + questions);
    }

    /**
     * After a power failure, entries hold the calls of two seconds until they have received the routing table; then all
     * of them are requested at once, already late, beside new calls that can still be in time. New calls must not
     * become late by this, and nearly all held calls are answered. Ordered by due time alone, half of the audits on
     * large engines were late.
     */
    @Test
    void heldCallsDoNotDelayNewCalls() {
        for (Deployment deployment : Deployment.ALL) {
            AlternatingLoad normal = new AlternatingLoad(deployment, ENGINES, 1, SEED).runDispatched();
            AlternatingLoad burst = new AlternatingLoad(deployment, ENGINES, 1, SEED)
                    .withHeldCalls(2)
                    .runDispatched();
            String results = deployment.name() + " without held calls " + describe(normal) + ", with held calls "
                    + describe(burst) + ", held calls answered " + burst.heldAnsweredFraction();
            assertTrue(burst.heldAnsweredFraction() >= 0.9, results);
            for (Kind kind : Kind.values()) {
                assertTrue(burst.onTimeFraction(kind) >= normal.onTimeFraction(kind) - 0.1, results);
            }
        }
    }
}
