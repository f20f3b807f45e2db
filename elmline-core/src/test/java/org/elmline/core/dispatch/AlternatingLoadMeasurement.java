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
    private static final int COLUMNS = 4;
    private static final int GRID_SEEDS = 3;
    private static final int GRID_ENGINES = 21;
    private static final double[] SCALES = {0.5, 1, 2};
    private static final double[] MEMORIES = {0.5, 1};
    private static final double LARGEST_FRACTION = 0.1;
    private static final double LARGE_FRACTION = 0.3;

    private AlternatingLoadMeasurement() {}

    public static void main(String[] args) {
        System.out.println("deployment engines policy kind on-time value largest-tenth next-fifth");
        // The smaller site gets the part of the calls that its specification states.
        print(Deployment.LARGE_ENGINES, 21, 1.0);
        print(Deployment.LARGE_ENGINES, 16, 0.77);
        print(Deployment.SMALL_ENGINES, 21, 1.0);
        System.out.println(
                "deployment, value of questions, rosters, audits and largest tenth of audits in time (against the"
                        + " better of the baselines)");
        printGrid();
    }

    /**
     * The same load on other engines and with other time limits: the difference between the dispatcher and the better
     * of the two baselines. Arrival rates scale with the speed of the engines, so the load stays similar.
     */
    private static void printGrid() {
        for (Deployment each : Deployment.ALL) {
            for (double speed : SCALES) {
                for (double timeLimitScale : SCALES) {
                    for (double memory : MEMORIES) {
                        compare(each.scaled(speed, timeLimitScale, memory), GRID_ENGINES);
                    }
                }
            }
        }
    }

    private static void compare(Deployment deployment, int engines) {
        double[][] values = new double[Candidate.values().length][Kind.values().length];
        double[] largest = new double[Candidate.values().length];
        for (Candidate candidate : Candidate.values()) {
            for (int seed = 1; seed <= GRID_SEEDS; seed++) {
                AlternatingLoad result = candidate.run(new AlternatingLoad(deployment, engines, 1, seed));
                for (Kind kind : Kind.values()) {
                    values[candidate.ordinal()][kind.ordinal()] += result.valueFraction(kind) / GRID_SEEDS;
                }
                largest[candidate.ordinal()] +=
                        result.onTimeFractionBySize(Kind.AUDIT, 0, LARGEST_FRACTION) / GRID_SEEDS;
            }
        }
        StringBuilder line = new StringBuilder(deployment.name());
        for (Kind kind : Kind.values()) {
            line.append(
                    formatDifference(values[2][kind.ordinal()], values[0][kind.ordinal()], values[1][kind.ordinal()]));
        }
        line.append(formatDifference(largest[2], largest[0], largest[1]));
        System.out.println(line);
    }

    private static String formatDifference(double ownValue, double first, double second) {
        double bestBaseline = Math.max(first, second);
        return String.format(Locale.ROOT, " %.3f (%+.3f)", ownValue, ownValue - bestBaseline);
    }

    /** Policies to compare, the dispatcher's last. */
    private enum Candidate {
        FEWEST_RUNNING {
            @Override
            AlternatingLoad run(AlternatingLoad load) {
                return load.runFewestRunning();
            }
        },
        LEAST_BACKLOG {
            @Override
            AlternatingLoad run(AlternatingLoad load) {
                return load.runLeastBacklog();
            }
        },
        DISPATCHER {
            @Override
            AlternatingLoad run(AlternatingLoad load) {
                return load.runDispatched();
            }
        };

        abstract AlternatingLoad run(AlternatingLoad load);
    }

    private static void print(Deployment deployment, int engines, double load) {
        for (Candidate candidate : Candidate.values()) {
            double[][] sums = new double[Kind.values().length][COLUMNS];
            for (int seed = 1; seed <= SEEDS; seed++) {
                add(candidate.run(new AlternatingLoad(deployment, engines, load, seed)), sums);
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

    private static void add(AlternatingLoad result, double[][] sums) {
        for (Kind kind : Kind.values()) {
            double[] sum = sums[kind.ordinal()];
            sum[0] += result.onTimeFraction(kind);
            sum[1] += result.valueFraction(kind);
            sum[2] += result.onTimeFractionBySize(kind, 0, LARGEST_FRACTION);
            sum[3] += result.onTimeFractionBySize(kind, LARGEST_FRACTION, LARGE_FRACTION);
        }
    }
}
