package org.elmline.bench.http;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import io.undertow.server.HttpHandler;
import org.elmline.core.common.Address;
import org.elmline.standin.StandinHttpServer;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class HttpLoadTest {
    private static HttpLoadOptions options(Address target, int maxInFlight) {
        return new HttpLoadOptions(
                List.of(target),
                "key",
                "elm",
                100,
                Duration.ofSeconds(1),
                50,
                maxInFlight,
                List.of(10),
                5,
                Duration.ofSeconds(20));
    }

    /**
     * The server takes 40 ms per request and only one is in flight, while one every 10 ms is intended. Latency measured
     * from sending would be 40 ms throughout; measured from the intended start it grows to over a second.
     */
    @Test
    void measuresLatencyFromIntendedStart() throws Exception {
        HttpHandler slow = exchange -> exchange.dispatch((HttpHandler) e -> {
            Thread.sleep(40);
            e.getResponseSender().send("data: {}\n\ndata: [DONE]\n\n", StandardCharsets.UTF_8);
        });
        try (StandinHttpServer server = new StandinHttpServer(0, slow)) {
            HttpLoadResult result =
                    new HttpLoad().run(options(server.address(), 1), new PrintWriter(new StringWriter()));
            assertEquals(50, result.requests());
            assertEquals(50, result.outcomes().get("done"));
            assertTrue(result.firstTokenMillis(99) > 20 * 40, "p99 " + result.firstTokenMillis(99));
        }
    }

    @Test
    void countsRequestsByOutcome() throws Exception {
        HttpHandler refusing = exchange -> exchange.setStatusCode(503).endExchange();
        try (StandinHttpServer server = new StandinHttpServer(0, refusing)) {
            HttpLoadResult result =
                    new HttpLoad().run(options(server.address(), 8), new PrintWriter(new StringWriter()));
            assertEquals(50, result.outcomes().get("503"));
        }
    }

    @Test
    void rejectsTargetsOutsideLoopback() {
        assertThrows(IllegalArgumentException.class, () -> options(new Address("192.0.2.1", 80), 1));
    }
}
