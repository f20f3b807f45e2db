package org.elmline.cli.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.elmline.cli.local.LocalDeployment;
import org.elmline.core.common.Address;

/** Sends streamed completions one after another and times the first event. Safe for use by many threads. */
final class StreamProbe {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final int MAX_IDLE_CONNECTIONS = 64;
    private static final int MAX_OUTPUT_TOKENS = 8;

    private final OkHttpClient http = new OkHttpClient.Builder()
            .readTimeout(Duration.ofSeconds(30))
            .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, 1, TimeUnit.MINUTES))
            .build();
    private final String key;

    StreamProbe(String key) {
        this.key = key;
    }

    /** Microseconds from sending to the first event; the answer is read to its end. */
    long firstEventMicros(Address target, String prompt) throws IOException {
        String body = "{\"model\":\"" + LocalDeployment.MODEL + "\",\"prompt\":\"" + prompt + "\",\"max_tokens\":"
                + MAX_OUTPUT_TOKENS + ",\"stream\":true}";
        Request request = new Request.Builder()
                .url("http://" + target + "/v1/completions")
                .header("Authorization", "Bearer " + key)
                .post(RequestBody.create(body, JSON))
                .build();
        long start = System.nanoTime();
        try (Response response = http.newCall(request).execute()) {
            if (!response.isSuccessful()) {
                throw new IOException(target + " answered " + response.code() + ": "
                        + response.body().string());
            }
            BufferedSource source = response.body().source();
            source.require(1);
            long first = System.nanoTime() - start;
            source.readByteArray();
            return TimeUnit.NANOSECONDS.toMicros(first);
        }
    }

    void close() {
        http.dispatcher().executorService().shutdown();
        http.connectionPool().evictAll();
    }
}
