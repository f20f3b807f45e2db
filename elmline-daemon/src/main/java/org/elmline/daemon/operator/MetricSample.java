package org.elmline.daemon.operator;

/**
 * Value of one metric at one moment.
 *
 * @param name name in Prometheus format, with its unit, for example {@code elmline_lease_renewals_total}
 * @param family metric that the sample belongs to: its name without {@code _count}
 * @param quantile quantile of a summary, for example 0.95; null for other samples
 */
public record MetricSample(String name, String family, Kind kind, String quantile, double value) {
    /** Kind of the metric; the constants are the types of the Prometheus text format. */
    public enum Kind {
        COUNTER,
        GAUGE,
        SUMMARY
    }
}
