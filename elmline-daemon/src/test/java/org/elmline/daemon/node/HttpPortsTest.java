package org.elmline.daemon.node;

import com.codahale.metrics.MetricRegistry;
import org.elmline.core.routing.CallerLimits;
import org.elmline.daemon.runtime.SystemClock;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

class HttpPortsTest {
    /** Guards against an entry that stops following a control host whose first table arrives before the ports are bound. */
    @Test
    void takesLimitsBeforeThePortsAreBound() throws Exception {
        try (HttpPorts ports = new HttpPorts(new SystemClock(), new MetricRegistry())) {
            assertDoesNotThrow(() -> ports.applyLimits(CallerLimits.DEFAULT));
            ports.start();
        }
    }
}
