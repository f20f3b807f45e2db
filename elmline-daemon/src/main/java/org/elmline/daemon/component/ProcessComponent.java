package org.elmline.daemon.component;

import javax.inject.Singleton;

import com.codahale.metrics.MetricRegistry;
import dagger.BindsInstance;
import dagger.Component;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.timeline.EventRing;
import org.elmline.core.timeline.HybridClock;
import org.elmline.daemon.operator.EventsHandler;
import org.elmline.daemon.operator.MetricsHandler;
import org.elmline.daemon.settings.TimelineSettings;

/**
 * Parts that every process has, whatever its role: clocks, metrics, events, and the handlers that show them on the
 * operators' port.
 */
@Singleton
@Component(modules = ProcessModule.class)
public interface ProcessComponent {
    MonotonicClock clock();

    HybridClock hybridClock();

    MetricRegistry metrics();

    EventRing events();

    EventsHandler eventsHandler();

    MetricsHandler metricsHandler();

    /** Creates the parts for one start of a host. */
    @Component.Factory
    interface Factory {
        ProcessComponent create(
                @BindsInstance HostId host,
                @BindsInstance Incarnation incarnation,
                @BindsInstance TimelineSettings timeline);
    }
}
