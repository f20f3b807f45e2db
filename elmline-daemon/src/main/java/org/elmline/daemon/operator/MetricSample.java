package org.elmline.daemon.operator;

/**
 * One number of a metric at one moment.
 *
 * @param name name in the form that Prometheus takes, with its unit, for example {@code elmline_lease_renewals_total}
 * @param family the metric it belongs to, which is the name but for {@code _count}
 * @param quantile which quantile of a summary it is, for example 0.95; null for all else
 */
public record MetricSample(String name, String family, Kind kind, String quantile, double value) {
    /** What the number means; the words are those of the Prometheus text format. */
    public enum Kind {
        COUNTER,
        GAUGE,
        SUMMARY
    }
}
