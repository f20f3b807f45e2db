package org.elmline.daemon.component;

import javax.inject.Singleton;

import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.timeline.EventRing;
import org.elmline.core.timeline.HybridClock;
import org.elmline.core.timeline.WallClock;
import org.elmline.daemon.operator.EventsHandler;
import org.elmline.daemon.operator.MetricsHandler;
import org.elmline.daemon.operator.ProcessMetrics;
import org.elmline.daemon.runtime.SystemClock;
import org.elmline.daemon.settings.TimelineSettings;

/** Provides the parts that every process has, one instance of each. */
@Module
final class ProcessModule {
    private ProcessModule() {}

    @Provides
    @Singleton
    static MonotonicClock clock() {
        return new SystemClock();
    }

    @Provides
    static WallClock wallClock() {
        return System::currentTimeMillis;
    }

    @Provides
    @Singleton
    static HybridClock hybridClock(WallClock wallClock) {
        return new HybridClock(wallClock);
    }

    @Provides
    @Singleton
    static EventRing events(
            HostId host, Incarnation incarnation, HybridClock clock, WallClock wallClock, TimelineSettings timeline) {
        return new EventRing(host, incarnation, clock, wallClock, timeline.events());
    }

    @Provides
    @Singleton
    static MetricRegistry metrics(EventRing events, HybridClock clock) {
        MetricRegistry registry = new MetricRegistry();
        ProcessMetrics.register(registry);
        ProcessMetrics.register(registry, events, clock);
        return registry;
    }

    @Provides
    @Singleton
    static EventsHandler eventsHandler(EventRing events) {
        return new EventsHandler(events);
    }

    @Provides
    @Singleton
    static MetricsHandler metricsHandler(MetricRegistry metrics) {
        return new MetricsHandler(metrics);
    }
}
