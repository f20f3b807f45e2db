package org.elmline.cli.operator;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.elmline.wire.codec.Codecs;

/**
 * Sends requests to operator ports. Every request is idempotent, so one that failed at one host is sent to the next: a
 * ticket that was already decided gives the recorded answer.
 */
final class OperatorClient {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private final ObjectMapper mapper = Codecs.jsonMapper();
    private final OkHttpClient http;
    private final List<HttpUrl> hosts;
    private final String key;

    /** @param key the operator key; null for ports that need none */
    OperatorClient(List<HttpUrl> hosts, String key, Duration timeout) {
        this.hosts = List.copyOf(hosts);
        this.key = key;
        this.http = new OkHttpClient.Builder()
                .connectTimeout(timeout)
                .callTimeout(timeout)
                .retryOnConnectionFailure(false)
                .build();
    }

    List<HttpUrl> hosts() {
        return hosts;
    }

    OperatorAnswer get(String path) {
        return sendToFirstAvailable(builder -> builder, path);
    }

    OperatorAnswer put(String path, byte[] body) {
        return sendToFirstAvailable(builder -> builder.put(RequestBody.create(body, JSON)), path);
    }

    OperatorAnswer post(String path) {
        return sendToFirstAvailable(builder -> builder.post(RequestBody.create(new byte[0], null)), path);
    }

    OperatorAnswer delete(String path) {
        return sendToFirstAvailable(Request.Builder::delete, path);
    }

    /** Sends the request to one host only. */
    OperatorAnswer readFrom(HttpUrl host, String path) {
        return send(host, builder -> builder, path);
    }

    private OperatorAnswer sendToFirstAvailable(RequestMethod method, String path) {
        List<String> failures = new ArrayList<>();
        for (HttpUrl host : hosts) {
            OperatorAnswer answer = send(host, method, path);
            if (!(answer instanceof OperatorAnswer.Unreachable unreachable)) {
                return answer;
            }
            failures.add(unreachable.message());
        }
        return new OperatorAnswer.Unreachable(String.join("; ", failures));
    }

    private OperatorAnswer send(HttpUrl host, RequestMethod method, String path) {
        HttpUrl url = host.resolve(path);
        if (url == null) {
            return new OperatorAnswer.Unreachable(host + ": not a path: " + path);
        }
        Request.Builder request = method.applyTo(new Request.Builder().url(url));
        if (key != null) {
            request.header("Authorization", "Bearer " + key);
        }
        try (Response response = http.newCall(request.build()).execute()) {
            return toAnswer(host, response);
        } catch (IOException e) {
            return new OperatorAnswer.Unreachable(host + ": " + e.getMessage());
        }
    }

    private OperatorAnswer toAnswer(HttpUrl host, Response response) throws IOException {
        JsonNode body = parse(response.body().bytes());
        if (response.isSuccessful()) {
            return new OperatorAnswer.Done(body);
        }
        if (response.code() >= FIRST_SERVER_ERROR_STATUS) {
            return new OperatorAnswer.Unreachable(host + ": " + response.code() + " " + ErrorText.of(body));
        }
        return new OperatorAnswer.Refused(response.code(), body);
    }

    private JsonNode parse(byte[] body) throws IOException {
        JsonNode parsed = mapper.readTree(body);
        return parsed == null ? mapper.missingNode() : parsed;
    }

    /** Completes a request with its HTTP method and body. */
    private interface RequestMethod {
        Request.Builder applyTo(Request.Builder builder);
    }
}
