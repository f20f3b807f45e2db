package org.elmline.bench.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.elmline.core.common.Address;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.ModelName;
import org.elmline.core.engine.EngineRequest;
import org.elmline.core.engine.PromptBlocks;
import org.elmline.wire.codec.Codecs;

/**
 * Baseline for measurements of an entry host: forwards streamed completions to one engine, without authentication,
 * limits, lease, placement, retries or checks of the pieces.
 */
public final class PassThroughProxy implements AutoCloseable {
    private static final ObjectMapper MAPPER = Codecs.jsonMapper();
    private static final MediaType JSON = MediaType.get("application/json");
    private static final int WORKERS = 64;

    private final OkHttpClient http =
            new OkHttpClient.Builder().readTimeout(Duration.ofSeconds(30)).build();
    private final AtomicLong attempts = new AtomicLong();
    private final Address engine;
    private final Undertow server;

    public PassThroughProxy(Address engine) {
        this.engine = engine;
        this.server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setWorkerThreads(WORKERS)
                .setHandler(new BlockingHandler(this::serve))
                .build();
        server.start();
    }

    public Address address() {
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return new Address("127.0.0.1", bound.getPort());
    }

    private void serve(HttpServerExchange exchange) throws IOException {
        JsonNode body = MAPPER.readTree(exchange.getInputStream());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        RequestBody request = RequestBody.create(Codecs.JSON.encode(request(body)), JSON);
        Request call = new Request.Builder()
                .url("http://" + engine + "/v1/streams")
                .post(request)
                .build();
        try (Response response = http.newCall(call).execute();
                OutputStream out = exchange.getOutputStream()) {
            copy(response.body().source(), out);
        }
    }

    private EngineRequest request(JsonNode body) {
        String prompt = body.path("prompt").asText();
        return new EngineRequest(
                AttemptId.of("proxy-" + attempts.incrementAndGet()),
                HostId.of("proxy"),
                Incarnation.of(1),
                ModelName.of(body.path("model").asText()),
                "",
                prompt,
                PromptBlocks.tokenCount(prompt),
                body.path("max_tokens").asInt(),
                0,
                List.of(),
                List.of());
    }

    private static void copy(BufferedSource from, OutputStream to) throws IOException {
        for (String line = from.readUtf8Line(); line != null; line = from.readUtf8Line()) {
            if (!line.isBlank()) {
                to.write(("data: " + line + "\n\n").getBytes(StandardCharsets.UTF_8));
                to.flush();
            }
        }
        to.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() {
        server.stop();
        http.dispatcher().executorService().shutdown();
        http.connectionPool().evictAll();
    }
}
