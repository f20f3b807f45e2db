package org.elmline.cli.process;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

import static org.junit.jupiter.api.Assertions.fail;

/** An HTTP client of a caller or an operator, with one key. */
public final class Client {
    private static final Duration LIMIT = Duration.ofSeconds(60);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final MediaType JSON = MediaType.get("application/json");

    private final OkHttpClient http =
            new OkHttpClient.Builder().callTimeout(LIMIT).readTimeout(LIMIT).build();
    private final String key;

    public Client(String key) {
        this.key = key;
    }

    /** A whole answer. */
    public record Reply(int status, String body) {
        public JsonNode json() throws IOException {
            return MAPPER.readTree(body);
        }
    }

    /** The received part of a streamed answer, and whether its end mark was received. */
    public record Stream(int status, String text, boolean done) {}

    public Reply get(String url) throws IOException {
        return send(new Request.Builder().url(url).get());
    }

    public Reply put(String url, String json) throws IOException {
        return send(new Request.Builder().url(url).put(RequestBody.create(json, JSON)));
    }

    public Reply post(String url, String json) throws IOException {
        return send(new Request.Builder().url(url).post(RequestBody.create(json, JSON)));
    }

    public Reply send(Request.Builder request) throws IOException {
        try (Response response = http.newCall(authorised(request)).execute()) {
            return new Reply(response.code(), response.body().string());
        }
    }

    public Stream stream(String url, String json) throws IOException {
        Request.Builder request = new Request.Builder().url(url).post(RequestBody.create(json, JSON));
        try (Response response = http.newCall(authorised(request)).execute()) {
            return read(response);
        }
    }

    /** Sends a request without waiting for its answer; running the result cancels the call. */
    public Runnable sendAsync(String url, String json) {
        Request.Builder request = new Request.Builder().url(url).post(RequestBody.create(json, JSON));
        Call call = http.newCall(authorised(request));
        call.enqueue(new Callback() {
            @Override
            public void onFailure(Call failed, IOException e) {
                // Expected: the test cancelled the call.
            }

            @Override
            public void onResponse(Call answered, Response response) {
                response.close();
            }
        });
        return call::cancel;
    }

    /** Reads the first byte of a streamed answer, then cancels the call. */
    public void cancelDuringStream(String url, String json) throws IOException {
        Request.Builder request = new Request.Builder().url(url).post(RequestBody.create(json, JSON));
        Call call = http.newCall(authorised(request));
        try (Response response = call.execute()) {
            response.body().source().require(1);
            call.cancel();
        }
    }

    private Request authorised(Request.Builder request) {
        return request.header("Authorization", "Bearer " + key).build();
    }

    private static Stream read(Response response) throws IOException {
        StringBuilder text = new StringBuilder();
        boolean done = false;
        for (String line : response.body().string().split("\n")) {
            if (line.equals("data: [DONE]")) {
                done = true;
            } else if (line.startsWith("data: ")) {
                text.append(MAPPER.readTree(line.substring(6))
                        .path("choices")
                        .path(0)
                        .path("text")
                        .asText());
            }
        }
        return new Stream(response.code(), text.toString(), done);
    }

    /** Waits until the condition holds; an exception counts as not yet. */
    public static void await(String what, Callable<Boolean> condition) throws InterruptedException {
        long deadline = System.nanoTime() + LIMIT.toNanos();
        Exception last = null;
        while (System.nanoTime() < deadline) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (Exception e) {
                last = e;
            }
            Thread.sleep(50);
        }
        fail("not reached: " + what, last);
    }
}
