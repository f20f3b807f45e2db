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

    /** Records the end of a call; {@code millis} from the last byte of its request to its end. */
    void recordEnd(ServiceName service, String outcome, long millis) {
        metrics.timer(PREFIX + service + "." + outcome).update(millis, TimeUnit.MILLISECONDS);
    }

    /** Records a stream's first event to its caller; {@code millis} from the last byte of the request. */
    void recordFirstEvent(ServiceName service, long millis) {
        metrics.timer(PREFIX + service + ".first_event").update(millis, TimeUnit.MILLISECONDS);
    }

    /** Records a granted place; {@code millis} from the last byte of the request. */
    void recordPlacement(ServiceName service, long millis) {
        metrics.timer(PREFIX + service + ".placing").update(millis, TimeUnit.MILLISECONDS);
    }

    /** Counts an attempt that failed with this end. */
    void recordAttemptFailure(ServiceName service, String end) {
        metrics.counter(PREFIX + service + ".attempt." + end).inc();
    }
}
