package org.elmline.bench.route;

import java.util.Arrays;
import java.util.Locale;

/** Repeated measurements of one quantity, with median and range. */
record Samples(double[] values) {
    Samples {
        values = values.clone();
        Arrays.sort(values);
    }

    double median() {
        return values[values.length / 2];
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%,.0f (%,.0f to %,.0f)", median(), values[0], values[values.length - 1]);
    }
}
