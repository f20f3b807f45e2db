package org.elmline.daemon.operator;

import java.util.List;
import java.util.Locale;

/** Writes samples in the Prometheus text format, version 0.0.4. */
final class PrometheusText {
    static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private PrometheusText() {}

    static String write(List<MetricSample> samples) {
        StringBuilder text = new StringBuilder();
        String family = "";
        for (MetricSample sample : samples) {
            if (!sample.family().equals(family)) {
                family = sample.family();
                String kind = sample.kind().name().toLowerCase(Locale.ROOT);
                text.append("# TYPE ").append(family).append(' ').append(kind).append('\n');
            }
            text.append(sample.name());
            if (sample.quantile() != null) {
                text.append("{quantile=\"").append(sample.quantile()).append("\"}");
            }
            text.append(' ').append(formatNumber(sample.value())).append('\n');
        }
        return text.toString();
    }

    private static String formatNumber(double value) {
        if (Double.isInfinite(value)) {
            return value > 0 ? "+Inf" : "-Inf";
        }
        if (value == Math.rint(value) && Math.abs(value) < 1e15) {
            return Long.toString((long) value);
        }
        return Double.toString(value);
    }
}
