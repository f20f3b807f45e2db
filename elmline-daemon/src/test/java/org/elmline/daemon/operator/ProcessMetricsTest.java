package org.elmline.daemon.operator;

import java.nio.charset.StandardCharsets;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.registry.FollowAnswer;
import org.elmline.wire.codec.Codecs;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

class ProcessMetricsTest {
    /** Guards against items of another release that are skipped unnoticed, as log lines are bounded in number. */
    @Test
    void skippedValuesAreCounted() {
        MetricRegistry registry = new MetricRegistry();
        ProcessMetrics.register(registry);
        Gauge<?> skipped = registry.getGauges().get("wire.values.skipped");
        assertNotNull(skipped);
        long before = (long) skipped.getValue();
        String answer = "{\"controls\":[7,\"10.0.0.1:80\"],\"routing\":7}";
        Codecs.JSON.decode(answer.getBytes(StandardCharsets.UTF_8), FollowAnswer.class);
        assertEquals(before + 2, (long) skipped.getValue());
    }
}
