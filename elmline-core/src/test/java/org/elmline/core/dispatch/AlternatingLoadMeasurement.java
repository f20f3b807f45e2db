package org.elmline.core.dispatch;

import java.util.Locale;

import org.elmline.core.dispatch.AlternatingLoad.Deployment;
import org.elmline.core.dispatch.AlternatingLoad.Kind;

/**
 * Prints the value that callers get under the alternating load, by class and size of calls, over several seeds on both
 * deployments' numbers of engines. Used to assess a change of the placement; not a test.
 */
public final class AlternatingLoadMeasurement {
    private static final int SEEDS = 12;
    private static final int FIGURES = 4;
    private static final int GRID_SEEDS = 3;
    private static final int GRID_ENGINES = 21;
    private static final double[] SCALES = {0.5, 1, 2};
    private static final double[] MEMORIES = {0.5, 1};
    private static final double LARGEST = 0.1;
    private static final double LARGE = 0.3;

    private AlternatingLoadMeasurement() {}

    public static void main(String[] args) {
        System.out.println("deployment engines policy kind on-time credit largest-tenth next-fifth");
        // The smaller site gets the part of the calls that its specification states.
        print(Deployment.LARGE_ENGINES, 21, 1.0);
        print(Deployment.LARGE_ENGINES, 16, 0.77);
        print(Deployment.SMALL_ENGINES, 21, 1.0);
        System.out.println(
                "deployment, credit of questions, rosters, audits and largest tenth of audits in time (against the"
                        + " better of the others)");
        printGrid();
    }

    /**
     * The same load on other engines and with other time limits: the difference between the dispatcher and the better
     * of the two baselines. Arrival rates scale with the speed of the engines, so the utilisation stays similar.
     */
    private static void printGrid() {
        for (Deployment each : Deployment.ALL) {
            for (double speed : SCALES) {
                for (double patience : SCALES) {
                    for (double memory : MEMORIES) {
                        compare(each.scaled(speed, patience, memory), GRID_ENGINES);
                    }
                }
            }
        }
    }

    private static void compare(Deployment deployment, int engines) {
        double[][] credit = new double[Candidate.values().length][Kind.values().length];
        double[] largest = new double[Candidate.values().length];
        for (Candidate candidate : Candidate.values()) {
            for (int seed = 1; seed <= GRID_SEEDS; seed++) {
                AlternatingLoad played = candidate.play(new AlternatingLoad(deployment, engines, 1, seed));
                for (Kind kind : Kind.values()) {
                    credit[candidate.ordinal()][kind.ordinal()] += played.credit(kind) / GRID_SEEDS;
                }
                largest[candidate.ordinal()] += played.onTimeBySize(Kind.AUDIT, 0, LARGEST) / GRID_SEEDS;
            }
        }
        StringBuilder line = new StringBuilder(deployment.name());
        for (Kind kind : Kind.values()) {
            line.append(against(credit[2][kind.ordinal()], credit[0][kind.ordinal()], credit[1][kind.ordinal()]));
        }
        line.append(against(largest[2], largest[0], largest[1]));
        System.out.println(line);
    }

    private static String against(double own, double one, double other) {
        double best = Math.max(one, other);
        return String.format(Locale.ROOT, " %.3f (%+.3f)", own, own - best);
    }

    /** Policies to compare, the dispatcher's last. */
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
                print(deployment.name() + " " + engines + " " + candidate + " " + kind, sums[kind.ordinal()]);
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
