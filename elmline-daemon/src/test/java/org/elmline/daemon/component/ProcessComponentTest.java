package org.elmline.daemon.component;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.RequestId;
import org.elmline.core.timeline.EventPage;
import org.elmline.core.timeline.EventQuery;
import org.elmline.core.timeline.RequestEvent;
import org.elmline.daemon.settings.TimelineSettings;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;

class ProcessComponentTest {
    private final ProcessComponent process = create("e1");

    @Test
    void providesOneInstancePerProcess() {
        assertSame(process.events(), process.events());
        assertSame(process.metrics(), process.metrics());
        assertSame(process.hybridClock(), process.hybridClock());
        assertNotSame(process.metrics(), create("e2").metrics());
    }

    @Test
    void eventsCarryHostAndAreCountedInMetrics() {
        process.events().record(new RequestEvent.Finished(RequestId.of("r"), 1));
        EventPage page = process.events().page(EventQuery.all());
        assertEquals(HostId.of("e1"), page.host());
        assertEquals(Incarnation.of(4), page.incarnation());
        Object recorded =
                process.metrics().getGauges().get("timeline.recorded.events").getValue();
        assertEquals(1L, recorded);
    }

    private static ProcessComponent create(String host) {
        return DaggerProcessComponent.factory().create(HostId.of(host), Incarnation.of(4), new TimelineSettings(64));
    }
}
