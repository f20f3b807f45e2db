package org.elmline.core.dispatch;

import java.util.Locale;

import org.elmline.core.dispatch.AlternatingLoad.Deployment;
import org.elmline.core.dispatch.AlternatingLoad.Kind;

/**
 * Prints what callers get of the alternating load, by kind and by size, over several seeds on both deployments' numbers of
 * engines. For weighing a change of the placement before it is measured elsewhere; not a test.
 */
public final class AlternatingLoadMeasurement {
    private static final int SEEDS = 12;
    private static final int FIGURES = 4;
    private static final double LARGEST = 0.1;
    private static final double LARGE = 0.3;

    private AlternatingLoadMeasurement() {}

    public static void main(String[] args) {
        System.out.println("deployment engines policy kind on-time credit largest-tenth next-fifth");
        // The smaller site's engines get the part of the calls that its sheet gives them.
        print(Deployment.LARGE_ENGINES, 21, 1.0);
        print(Deployment.LARGE_ENGINES, 16, 0.77);
        print(Deployment.SMALL_ENGINES, 21, 1.0);
    }

    /** Ways to choose an engine, the product's own last. */
    private enum Candidate {
        FEWEST_RUNNING {
            @Override
            AlternatingLoad play(AlternatingLoad load) {
                return load.blind();
            }
        },
        LEAST_WORK {
            @Override
            AlternatingLoad play(AlternatingLoad load) {
                return load.leastWork();
            }
        },
        DISPATCHER {
            @Override
            AlternatingLoad play(AlternatingLoad load) {
                return load.dispatched();
            }
        };

        abstract AlternatingLoad play(AlternatingLoad load);
    }

    private static void print(Deployment deployment, int engines, double load) {
        for (Candidate candidate : Candidate.values()) {
            double[][] sums = new double[Kind.values().length][FIGURES];
            for (int seed = 1; seed <= SEEDS; seed++) {
                add(candidate.play(new AlternatingLoad(deployment, engines, load, seed)), sums);
            }
            for (Kind kind : Kind.values()) {
                print(deployment + " " + engines + " " + candidate + " " + kind, sums[kind.ordinal()]);
            }
        }
    }

    private static void print(String name, double[] sums) {
        StringBuilder line = new StringBuilder(name);
        for (double each : sums) {
            line.append(String.format(Locale.ROOT, " %.3f", each / SEEDS));
        }
        System.out.println(line);
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
