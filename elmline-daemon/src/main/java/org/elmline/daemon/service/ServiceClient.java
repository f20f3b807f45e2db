package org.elmline.daemon.service;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.internal.http.HttpMethod;
import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.Ran;
import org.elmline.core.control.RecordedAnswer;
import org.elmline.daemon.engine.SendTracker;

/**
 * Sends one call to one replica of a plain service, once. Blocks the calling worker until the result is known.
 * Thread-safe.
 */
final class ServiceClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_IDLE_CONNECTIONS = 64;
    private static final long IDLE_CONNECTION_SECONDS = 30;
    /**
     * A service that refuses a call before anything ran sends this header with {@code no}; no other answer counts as
     * "did not run".
     */
    private static final String RAN_HEADER = "Elmline-Ran";

    private static final Set<String> EXCLUDED_ANSWER_HEADERS = hopByHopHeaders();

    private final OkHttpClient http = new OkHttpClient.Builder()
            .connectTimeout(CONNECT_TIMEOUT)
            .eventListenerFactory(call -> SendTracker.of(call.request()))
            // OkHttp must not retry by itself: a call that this process counts as sent once could then run twice.
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_CONNECTION_SECONDS, TimeUnit.SECONDS))
            .build();

    /**
     * Headers that are not forwarded: those of a single connection, those that this process sets itself, and the key in
     * {@code Authorization}.
     */
    static Set<String> hopByHopHeaders() {
        Set<String> names = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        names.addAll(List.of(
                "Connection",
                "Keep-Alive",
                "Transfer-Encoding",
                "TE",
                "Trailer",
                "Upgrade",
                "Content-Length",
                "Host",
                "Authorization",
                "Expect",
                "Proxy-Connection"));
        return names;
    }

    CallResult<RecordedAnswer> send(Address replica, ServiceCall call, Duration timeout) {
        SendTracker sendTracker = new SendTracker();
        Request request;
        try {
            request = request(replica, call).tag(SendTracker.class, sendTracker).build();
        } catch (IllegalArgumentException e) {
            return new CallResult.NotSent<>("the call can't be passed on: " + e.getMessage());
        }
        OkHttpClient bounded = http.newBuilder()
                .callTimeout(timeout)
                .readTimeout(timeout)
                .writeTimeout(timeout)
                .build();
        try (Response response = bounded.newCall(request).execute()) {
            if ("no".equals(response.header(RAN_HEADER))) {
                return new CallResult.NotSent<>("the service refused with status " + response.code());
            }
            return new CallResult.Answered<>(RecordedAnswer.of(
                    response.code(), headers(response), response.body().bytes()));
        } catch (IOException e) {
            String why = String.valueOf(e.getMessage());
            return sendTracker.ran() == Ran.NO ? new CallResult.NotSent<>(why) : new CallResult.Unknown<>(why);
        }
    }

    private static Request.Builder request(Address replica, ServiceCall call) {
        Request.Builder request = new Request.Builder().url("http://" + replica + "/" + call.target());
        String contentType = null;
        for (RecordedAnswer.Header each : call.headers()) {
            request.addHeader(each.name(), each.value());
            contentType = each.name().equalsIgnoreCase("Content-Type") ? each.value() : contentType;
        }
        boolean withBody = HttpMethod.permitsRequestBody(call.method())
                && (call.body().length > 0 || HttpMethod.requiresRequestBody(call.method()));
        MediaType type = contentType == null ? null : MediaType.parse(contentType);
        return request.method(call.method(), withBody ? RequestBody.create(call.body(), type) : null);
    }

    private static List<RecordedAnswer.Header> headers(Response response) {
        List<RecordedAnswer.Header> headers = new ArrayList<>();
        response.headers().forEach(pair -> {
            if (!EXCLUDED_ANSWER_HEADERS.contains(pair.getFirst())) {
                headers.add(new RecordedAnswer.Header(pair.getFirst(), pair.getSecond()));
            }
        });
        return headers;
    }

    @Override
    public void close() {
        http.dispatcher().executorService().shutdown();
        http.connectionPool().evictAll();
    }
}
