package org.elmline.core.dispatch;

import java.util.Locale;

import org.elmline.core.dispatch.AlternatingLoad.Deployment;
import org.elmline.core.dispatch.AlternatingLoad.Kind;

/**
 * Prints the time that a dispatcher takes per call, from the request to the report of its end, by number of engines and
 * load, and the value that callers get. Not a test.
 */
public final class DispatchCostMeasurement {
    private static final int[] ENGINES = {20, 70, 172, 700};
    private static final double[] LOADS = {0.5, 1, 1.7};
    private static final double SPECIFIED_ENGINES = 21;
    private static final long SEED = 3;
    private static final int[] SHARDS = {1, 2, 4, 8};
    private static final int SEEDS = 2;
    private static final int LARGE_SITE_ENGINES = 172;

    private DispatchCostMeasurement() {}

    public static void main(String[] args) {
        if (args.length > 0) {
            for (int shards : SHARDS) {
                for (long seed = 1; seed <= SEEDS; seed++) {
                    print(LARGE_SITE_ENGINES, 1, shards, seed);
                }
            }
            return;
        }
        System.out.println("engines load calls micros-per-call value: questions rosters audits, largest tenth in time");
        for (int round = 0; round < 2; round++) {
            for (int engines : ENGINES) {
                for (double load : LOADS) {
                    print(engines, load, 1, SEED);
                }
            }
        }
    }

    private static void print(int engines, double load, int shards, long seed) {
        AlternatingLoad result = new AlternatingLoad(
                        Deployment.MANY_ENGINES, engines, load * engines / SPECIFIED_ENGINES, seed)
                .inShards(shards)
                .runDispatched();
        System.out.printf(
                Locale.ROOT,
                "%d engines in %d shards, load %.1f: %d calls, %.1f  %.3f %.3f %.3f %.3f%n",
                engines,
                shards,
                load,
                result.calls(),
                result.decisionMicrosPerCall(),
                result.valueFraction(Kind.QUESTION),
                result.valueFraction(Kind.ROSTER),
                result.valueFraction(Kind.AUDIT),
                result.onTimeFractionBySize(Kind.AUDIT, 0, 0.1));
    }
}
