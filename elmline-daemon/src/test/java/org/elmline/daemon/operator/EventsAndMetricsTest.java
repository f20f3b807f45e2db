package org.elmline.daemon.operator;

import java.util.List;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.Handlers;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.elmline.core.common.ConfigVersion;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.RequestId;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.timeline.EventPage;
import org.elmline.core.timeline.EventRing;
import org.elmline.core.timeline.HybridClock;
import org.elmline.core.timeline.RequestEvent;
import org.elmline.core.timeline.TicketEvent;
import org.elmline.daemon.http.HttpLimits;
import org.elmline.daemon.http.HttpListener;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class EventsAndMetricsTest {
    private static final long NOW = 1_800_000_000_000L;

    private final OkHttpClient client = new OkHttpClient();
    private final MetricRegistry metrics = new MetricRegistry();
    private final HybridClock clock = new HybridClock(() -> NOW);
    private final EventRing ring = new EventRing(HostId.of("e1"), Incarnation.of(3), clock, () -> NOW, 100);
    private HttpListener listener;

    @BeforeEach
    void start() {
        ring.record(new RequestEvent.Finished(RequestId.of("r1"), 12));
        ring.record(new TicketEvent.Followed(TicketNumber.of(7), ConfigVersion.of(2)));
        ring.record(new RequestEvent.Finished(RequestId.of("r2"), 15));
        listener = HttpListener.start(
                "127.0.0.1",
                0,
                HttpLimits.DEFAULT,
                Handlers.routing()
                        .get("/v1/events", new EventsHandler(ring))
                        .get("/metrics", new MetricsHandler(metrics)));
    }

    @AfterEach
    void stop() {
        listener.close();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    @ParameterizedTest
    @CsvSource({"'',3", "request=r1,1", "request=r3,0", "ticket=7,1", "host=e1,3", "host=e2,0", "limit=2,2"})
    void filtersEventsByQuery(String query, int expected) throws Exception {
        assertEquals(expected, page(query).events().size());
    }

    @Test
    void returnsEventsAsRecorded() throws Exception {
        EventPage page = page("ticket=7");
        assertEquals(
                new TicketEvent.Followed(TicketNumber.of(7), ConfigVersion.of(2)),
                page.events().get(0).event());
        assertEquals(ring.page(org.elmline.core.timeline.EventQuery.all()), page(""));
    }

    @ParameterizedTest
    @CsvSource({"limit=0", "limit=x", "ticket=x", "ticket=-1", "request=%20"})
    void rejectsInvalidQueries(String query) throws Exception {
        try (Response response = get("/v1/events?" + query, null)) {
            assertEquals(400, response.code());
        }
    }

    @Test
    void returnsMetricsAsPrometheusText() throws Exception {
        metrics.counter("gate.refused").inc(3);
        metrics.meter("lease.renewals").mark(2);
        metrics.histogram("prompt.tokens").update(1000);
        metrics.timer("first-token").update(250, TimeUnit.MILLISECONDS);
        metrics.registerGauge("queue.length", () -> 2.5);
        metrics.registerGauge("name", () -> "text");
        try (Response response = get("/metrics", null)) {
            List<String> lines = response.body().string().lines().toList();
            assertTrue(lines.contains("# TYPE elmline_gate_refused_total counter"), lines::toString);
            assertTrue(lines.contains("elmline_gate_refused_total 3"), lines::toString);
            assertTrue(lines.contains("elmline_lease_renewals_total 2"), lines::toString);
            assertTrue(lines.contains("elmline_prompt_tokens{quantile=\"0.95\"} 1000"), lines::toString);
            assertTrue(lines.contains("elmline_first_token_seconds{quantile=\"0.5\"} 0.25"), lines::toString);
            assertTrue(lines.contains("elmline_first_token_seconds_count 1"), lines::toString);
            assertTrue(lines.contains("elmline_queue_length 2.5"), lines::toString);
            assertEquals(
                    5, lines.stream().filter(line -> line.startsWith("# TYPE")).count(), lines::toString);
        }
    }

    @Test
    void returnsMetricsAsJson() throws Exception {
        ProcessMetrics.register(metrics);
        ProcessMetrics.register(metrics, ring, clock);
        try (Response response = get("/metrics", "application/json")) {
            JsonNode samples = Codecs.jsonMapper().readTree(response.body().bytes());
            assertEquals(9, samples.size(), samples::toString);
            assertEquals(
                    "elmline_timeline_refused_stamps",
                    samples.get(7).path("name").asText());
            assertEquals(
                    "elmline_wire_values_skipped", samples.get(8).path("name").asText());
        }
    }

    private EventPage page(String query) throws Exception {
        try (Response response = get("/v1/events?" + query, null)) {
            Decoded<EventPage> page = Codecs.STRICT_JSON.decode(response.body().bytes(), EventPage.class);
            return assertInstanceOf(Decoded.Value.class, page, page::toString).value() instanceof EventPage found
                    ? found
                    : null;
        }
    }

    private Response get(String path, String accept) throws Exception {
        Request.Builder request = new Request.Builder().url("http://" + listener.address() + path);
        if (accept != null) {
            request.header("Accept", accept);
        }
        return client.newCall(request.build()).execute();
    }
}
