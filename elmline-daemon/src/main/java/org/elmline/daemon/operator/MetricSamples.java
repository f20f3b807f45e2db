package org.elmline.daemon.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/**
 * Reads the values of all metrics of a registry, in the order of their names. Characters that Prometheus does not allow
 * in names, such as dots and dashes, become underscores; timers are given in seconds. Gauges that are not numbers are
 * omitted.
 */
final class MetricSamples {
    private static final String PREFIX = "elmline_";
    private static final double[] QUANTILES = {0.5, 0.95, 0.99, 0.999};
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final List<MetricSample> samples = new ArrayList<>();

    private MetricSamples() {}

    static List<MetricSample> of(MetricRegistry registry) {
        MetricSamples collected = new MetricSamples();
        for (Map.Entry<String, Metric> each : new TreeMap<>(registry.getMetrics()).entrySet()) {
            collected.addSamples(PREFIX + each.getKey().replaceAll("[^A-Za-z0-9_:]", "_"), each.getValue());
        }
        return collected.samples;
    }

    private void addSamples(String name, Metric metric) {
        if (metric instanceof Counter || metric instanceof Meter) {
            addCounter(name.endsWith("_total") ? name : name + "_total", (Counting) metric);
        } else if (metric instanceof Histogram histogram) {
            addSummary(name, histogram, histogram.getSnapshot(), 1);
        } else if (metric instanceof Timer timer) {
            addSummary(name + "_seconds", timer, timer.getSnapshot(), NANOS_PER_SECOND);
        } else if (metric instanceof Gauge<?> gauge && gauge.getValue() instanceof Number number) {
            samples.add(new MetricSample(name, name, MetricSample.Kind.GAUGE, null, number.doubleValue()));
        }
    }

    private void addCounter(String name, Counting counting) {
        samples.add(new MetricSample(name, name, MetricSample.Kind.COUNTER, null, counting.getCount()));
    }

    private void addSummary(String name, Counting counting, Snapshot snapshot, double unit) {
        for (double quantile : QUANTILES) {
            double value = snapshot.getValue(quantile) / unit;
            samples.add(new MetricSample(name, name, MetricSample.Kind.SUMMARY, Double.toString(quantile), value));
        }
        samples.add(new MetricSample(name + "_count", name, MetricSample.Kind.SUMMARY, null, counting.getCount()));
    }
}
