package org.elmline.daemon.operator;

import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.timeline.EventRing;
import org.elmline.core.timeline.HybridClock;
import org.elmline.wire.shape.UnusableValue;

/** Metrics that every process reports of itself: memory, threads, garbage collection, time line, unusable values. */
public final class ProcessMetrics {
    private ProcessMetrics() {}

    /**
     * Registers the metrics of the Java runtime. Its beans are created when a metric is read, since creating them at
     * registration would make the start slower.
     */
    public static void register(MetricRegistry registry) {
        registerGauge(registry, "process.heap.used.bytes", () -> ManagementFactory.getMemoryMXBean()
                .getHeapMemoryUsage()
                .getUsed());
        registerGauge(registry, "process.heap.committed.bytes", () -> ManagementFactory.getMemoryMXBean()
                .getHeapMemoryUsage()
                .getCommitted());
        registerGauge(registry, "process.threads", () -> ManagementFactory.getThreadMXBean()
                .getThreadCount());
        registerGauge(registry, "process.uptime.millis", () -> ManagementFactory.getRuntimeMXBean()
                .getUptime());
        registerGauge(registry, "process.collection.millis", ProcessMetrics::garbageCollectionMillis);
        registerGauge(registry, "wire.values.skipped", UnusableValue::skipped);
    }

    public static void register(MetricRegistry registry, EventRing ring, HybridClock clock) {
        registerGauge(registry, "timeline.recorded.events", ring::recorded);
        registerGauge(registry, "timeline.dropped.events", ring::dropped);
        registerGauge(registry, "timeline.refused.stamps", clock::rejectedCount);
    }

    private static void registerGauge(MetricRegistry registry, String name, Gauge<Number> gauge) {
        registry.register(name, gauge);
    }

    private static long garbageCollectionMillis() {
        long sum = 0;
        for (GarbageCollectorMXBean collector : ManagementFactory.getGarbageCollectorMXBeans()) {
            sum += Math.max(0, collector.getCollectionTime());
        }
        return sum;
    }
}
