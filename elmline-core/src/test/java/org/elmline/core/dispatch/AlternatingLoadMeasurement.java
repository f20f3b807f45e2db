package org.elmline.core.dispatch;

import org.elmline.core.dispatch.AlternatingLoad.Kind;

/**
 * Prints what callers get of the alternating load, by kind and by size, over several seeds on both deployments' numbers of
 * engines. For weighing a change of the placement before it is measured elsewhere; not a test.
 */
public final class AlternatingLoadMeasurement {
    private static final int SEEDS = 12;
    private static final double LARGEST = 0.1;
    private static final double LARGE = 0.3;

    private AlternatingLoadMeasurement() {}

    public static void main(String[] args) {
        System.out.println("engines policy kind on-time credit largest-tenth next-fifth");
        // The smaller site's engines get the part of the calls that its sheet gives them.
        print(21, 1.0);
        print(16, 0.77);
    }

    private static void print(int engines, double load) {
        for (boolean dispatched : new boolean[] {false, true}) {
            double[][] sums = new double[Kind.values().length][4];
            for (int seed = 1; seed <= SEEDS; seed++) {
                AlternatingLoad played = new AlternatingLoad(engines, load, seed);
                add(dispatched ? played.dispatched() : played.blind(), sums);
            }
            for (Kind kind : Kind.values()) {
                double[] sum = sums[kind.ordinal()];
                System.out.printf(
                        "%d %s %s %.3f %.3f %.3f %.3f%n",
                        engines,
                        dispatched ? "dispatcher" : "fewest-running",
                        kind,
                        sum[0] / SEEDS,
                        sum[1] / SEEDS,
                        sum[2] / SEEDS,
                        sum[3] / SEEDS);
            }
        }
    }

    private static void add(AlternatingLoad played, double[][] sums) {
        for (Kind kind : Kind.values()) {
            double[] sum = sums[kind.ordinal()];
            sum[0] += played.onTime(kind);
            sum[1] += played.credit(kind);
            sum[2] += played.onTimeBySize(kind, 0, LARGEST);
            sum[3] += played.onTimeBySize(kind, LARGEST, LARGE);
        }
    }
}
