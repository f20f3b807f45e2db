package org.elmline.daemon.operator;

import java.util.List;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.elmline.daemon.http.JsonResponses;

/** {@code GET /metrics}: Prometheus text; JSON when the caller accepts only that. */
public final class MetricsHandler implements HttpHandler {
    private static final String JSON = "application/json";

    private final MetricRegistry registry;

    public MetricsHandler(MetricRegistry registry) {
        this.registry = registry;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        List<MetricSample> samples = MetricSamples.of(registry);
        String accept = exchange.getRequestHeaders().getFirst(Headers.ACCEPT);
        if (accept != null && accept.startsWith(JSON)) {
            JsonResponses.send(exchange, samples);
            return;
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, PrometheusText.CONTENT_TYPE);
        exchange.getResponseSender().send(PrometheusText.write(samples));
    }
}
