package org.elmline.daemon.gateway;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.ServiceName;

/** Counters and latency histograms of calls, by service and outcome. Safe for use by many threads. */
final class CallMetrics {
    private static final String PREFIX = "calls.";

    private final MetricRegistry metrics;

    CallMetrics(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /** A call has ended so; {@code millis} from its last byte read to its end. */
    void recordEnd(ServiceName service, String outcome, long millis) {
        metrics.timer(PREFIX + service + "." + outcome).update(millis, TimeUnit.MILLISECONDS);
    }

    /** A stream's first event has gone to its caller; {@code millis} from the call's last byte read. */
    void recordFirstEvent(ServiceName service, long millis) {
        metrics.timer(PREFIX + service + ".first_event").update(millis, TimeUnit.MILLISECONDS);
    }

    /** A call was granted a place after waiting for it. */
    void recordPlacement(ServiceName service, long millis) {
        metrics.timer(PREFIX + service + ".placing").update(millis, TimeUnit.MILLISECONDS);
    }

    /** A try failed so. */
    void recordAttemptFailure(ServiceName service, String end) {
        metrics.counter(PREFIX + service + ".attempt." + end).inc();
    }
}
