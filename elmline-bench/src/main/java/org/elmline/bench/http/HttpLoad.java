package org.elmline.bench.http;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.annotation.JsonProperty;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.elmline.core.common.Address;
import org.elmline.core.engine.PromptBlocks;
import org.elmline.wire.engine.EngineJson;

/**
 * Open-loop load: sends completions at scheduled times, whether or not earlier ones have been answered, and measures
 * each latency from the intended start of the request. A load tool that waits for answers before it sends more omits
 * exactly the periods in which the system was slow (coordinated omission; Tene, "How NOT to Measure Latency").
 */
public final class HttpLoad {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final String EVENT_PREFIX = "data:";
    private static final String LAST_EVENT = "[DONE]";

    /** Body of a completion request in the format of the OpenAI API. */
    private record Completion(String model, String prompt, @JsonProperty("max_tokens") int maxTokens, boolean stream) {}

    /** Runs the load to its end and prints a summary. */
    public HttpLoadResult run(HttpLoadOptions options, PrintWriter out) throws InterruptedException {
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(options.maxInFlight());
        dispatcher.setMaxRequestsPerHost(options.maxInFlight());
        OkHttpClient client = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .retryOnConnectionFailure(false)
                .callTimeout(options.timeout())
                .readTimeout(options.timeout())
                .build();
        HttpLoadResult result = new HttpLoadResult();
        try {
            send(options, client, result);
        } finally {
            dispatcher.cancelAll();
            dispatcher.executorService().shutdown();
            client.connectionPool().evictAll();
        }
        out.print(result.summary());
        return result;
    }

    private static void send(HttpLoadOptions options, OkHttpClient client, HttpLoadResult result)
            throws InterruptedException {
        int planned = (int) Math.min(
                options.maxRequests(),
                options.requestsPerSecond() * options.duration().toNanos() / 1e9);
        CountDownLatch openRequests = new CountDownLatch(planned);
        long start = System.nanoTime();
        for (int i = 0; i < planned; i++) {
            long intendedNanos = start + (long) (i * (NANOS_PER_SECOND / options.requestsPerSecond()));
            TimeUnit.NANOSECONDS.sleep(intendedNanos - System.nanoTime());
            client.newCall(request(options, i)).enqueue(new AnswerReader(intendedNanos, result, openRequests));
        }
        // The client's queue is bounded by the planned requests, and each started call ends by its own timeout.
        long rounds = 1 + planned / options.maxInFlight();
        openRequests.await(options.timeout().toNanos() * rounds, TimeUnit.NANOSECONDS);
    }

    private static Request request(HttpLoadOptions options, int number) {
        Address target = options.targets().get(number % options.targets().size());
        int tokens = options.promptTokens().get(number % options.promptTokens().size());
        Completion body = new Completion(options.model(), prompt(tokens, number), options.maxOutputTokens(), true);
        return new Request.Builder()
                .url("http://" + target + "/v1/completions")
                .header("Authorization", "Bearer " + options.apiKey())
                .header("Elmline-Timeout-Ms", Long.toString(options.timeout().toMillis()))
                .post(RequestBody.create(EngineJson.write(body), JSON))
                .build();
    }

    /** Text that differs from its first characters on, so that no request hits a prefix cache. */
    private static String prompt(int tokens, int number) {
        String text = "request " + number + " asks for seats. ";
        int characters = tokens * PromptBlocks.CHARACTERS_PER_TOKEN;
        return text.repeat(1 + characters / text.length()).substring(0, characters);
    }

    /** Reads the events of one answer. */
    private static final class AnswerReader implements Callback {
        private final long intendedNanos;
        private final HttpLoadResult result;
        private final CountDownLatch openRequests;

        AnswerReader(long intendedNanos, HttpLoadResult result, CountDownLatch openRequests) {
            this.intendedNanos = intendedNanos;
            this.result = result;
            this.openRequests = openRequests;
        }

        @Override
        public void onFailure(Call call, IOException e) {
            finish(e.getClass().getSimpleName());
        }

        @Override
        public void onResponse(Call call, Response response) {
            try (response) {
                finish(response.isSuccessful() ? read(response.body().source()) : Integer.toString(response.code()));
            } catch (IOException e) {
                finish(e.getClass().getSimpleName());
            }
        }

        private String read(BufferedSource source) throws IOException {
            boolean first = true;
            for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
                if (!line.startsWith(EVENT_PREFIX)) {
                    continue;
                }
                if (line.endsWith(LAST_EVENT)) {
                    return "done";
                }
                if (first) {
                    result.recordFirstToken(System.nanoTime() - intendedNanos);
                    first = false;
                }
            }
            return "cut";
        }

        private void finish(String outcome) {
            result.recordEnd(outcome, System.nanoTime() - intendedNanos);
            openRequests.countDown();
        }
    }
}
