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
import org.elmline.core.dispatch.ServerNotice;
import org.elmline.core.dispatch.ServerRateLimit;
import org.elmline.daemon.engine.SendTracker;
import org.elmline.daemon.http.BoundedBody;
import org.elmline.daemon.http.CheckedAnswers;
import org.elmline.wire.engine.EnginePaths;
import org.jboss.logging.Logger;

/**
 * Sends one call to one replica of a plain service, once. Blocks the calling worker until the result is known.
 * Thread-safe.
 */
final class ServiceClient implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ServiceClient.class);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_IDLE_CONNECTIONS = 64;
    private static final long IDLE_CONNECTION_SECONDS = 30;
    private static final int UNAVAILABLE = 503;
    private static final long MILLIS_PER_SECOND = 1_000;

    private static final Set<String> EXCLUDED_ANSWER_HEADERS = hopByHopHeaders();

    private final OkHttpClient http = CheckedAnswers.addTo(new OkHttpClient.Builder())
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

    ServiceResult send(Address replica, ServiceCall call, Duration timeout) {
        SendTracker sendTracker = new SendTracker();
        Request request;
        try {
            request = request(replica, call).tag(SendTracker.class, sendTracker).build();
        } catch (IllegalArgumentException e) {
            return withoutAnswer(new CallResult.NotSent<>("the call can't be passed on: " + e.getMessage()));
        }
        OkHttpClient bounded = http.newBuilder()
                .callTimeout(timeout)
                .readTimeout(timeout)
                .writeTimeout(timeout)
                .build();
        try (Response response = bounded.newCall(request).execute()) {
            ServerNotice notice = notice(response);
            // No other answer counts as "did not run".
            if ("no".equals(response.header(EnginePaths.RAN_HEADER))) {
                String why = "the service refused with status " + response.code();
                return new ServiceResult(new CallResult.NotSent<>(why), notice);
            }
            RecordedAnswer answer =
                    RecordedAnswer.of(response.code(), headers(response), BoundedBody.read(response.body()));
            return new ServiceResult(new CallResult.Answered<>(answer), notice);
        } catch (IOException e) {
            String why = String.valueOf(e.getMessage());
            return withoutAnswer(
                    sendTracker.ran() == Ran.NO ? new CallResult.NotSent<>(why) : new CallResult.Unknown<>(why));
        }
    }

    private static ServiceResult withoutAnswer(CallResult<RecordedAnswer> result) {
        return new ServiceResult(result, ServerNotice.NONE);
    }

    private static ServerNotice notice(Response response) {
        boolean leaving = "yes".equals(response.header(EnginePaths.LEAVING_HEADER));
        String retryAfter = response.code() == UNAVAILABLE ? response.header(EnginePaths.RETRY_AFTER_HEADER) : null;
        return new ServerNotice(ServerRateLimit.NONE, leaving, backoffMillis(retryAfter));
    }

    /** Milliseconds in a value in whole seconds; 0 without a value, -1 for one that is malformed or a date. */
    private static long backoffMillis(String seconds) {
        if (seconds == null) {
            return 0;
        }
        try {
            return Math.max(-1, Integer.parseInt(seconds.trim()) * MILLIS_PER_SECOND);
        } catch (NumberFormatException e) {
            LOG.warnf("a service's %s can't be read: %s", EnginePaths.RETRY_AFTER_HEADER, seconds);
            return -1;
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
