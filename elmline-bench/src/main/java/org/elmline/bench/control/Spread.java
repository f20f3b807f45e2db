package org.elmline.bench.control;

import java.util.Arrays;
import java.util.function.DoubleSupplier;

/** Median, lowest and highest value of several rounds. */
public record Spread(double median, double lowest, double highest) {
    private static final int ROUNDS = 9;
    private static final int WARM_UP_ROUNDS = 3;

    /**
     * Measures after a warm-up, with one garbage collection before each round, so that no round pays for the garbage of
     * an earlier one.
     */
    static Spread of(DoubleSupplier round) {
        for (int i = 0; i < WARM_UP_ROUNDS; i++) {
            round.getAsDouble();
        }
        double[] values = new double[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            System.gc();
            values[i] = round.getAsDouble();
        }
        Arrays.sort(values);
        return new Spread(values[ROUNDS / 2], values[0], values[ROUNDS - 1]);
    }

    Spread dividedBy(double divisor) {
        return new Spread(median / divisor, lowest / divisor, highest / divisor);
    }
}
