package org.elmline.daemon.engine;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JavaType;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.elmline.core.common.Address;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.Ran;
import org.elmline.core.engine.CacheEvents;
import org.elmline.core.engine.EngineClient;
import org.elmline.core.engine.EngineLoad;
import org.elmline.core.engine.EngineOrder;
import org.elmline.core.engine.EngineRequest;
import org.elmline.core.engine.EngineState;
import org.elmline.core.engine.KvExport;
import org.elmline.core.engine.OrderAnswer;
import org.elmline.core.engine.StreamInfo;
import org.elmline.core.engine.StreamListener;
import org.elmline.daemon.http.BoundedBody;
import org.elmline.wire.engine.EngineJson;
import org.elmline.wire.engine.EnginePaths;
import org.elmline.wire.engine.ImportRequest;

/** Client of one stand-in engine over HTTP. Thread-safe. */
final class StandinEngineClient implements EngineClient {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final JavaType STREAM_INFOS = EngineJson.listOf(StreamInfo.class);
    private static final JavaType EXPORTS = EngineJson.listOf(KvExport.class);

    private final Address engine;
    private final OkHttpClient streams;
    private final OkHttpClient calls;

    StandinEngineClient(Address engine, OkHttpClient streams, OkHttpClient calls) {
        this.engine = engine;
        this.streams = streams;
        this.calls = calls;
    }

    @Override
    public AutoCloseable start(EngineRequest request, StreamListener listener) {
        Request.Builder post =
                new Request.Builder().url(url(EnginePaths.STREAMS).build()).post(body(request));
        return stream(request.attempt(), false, post, listener);
    }

    @Override
    public AutoCloseable resume(AttemptId attempt, int offset, StreamListener listener) {
        HttpUrl url = url(EnginePaths.STREAM)
                .addQueryParameter(EnginePaths.ATTEMPT, attempt.value())
                .addQueryParameter(EnginePaths.OFFSET, Integer.toString(offset))
                .build();
        return stream(attempt, true, new Request.Builder().url(url), listener);
    }

    @Override
    public CompletableFuture<CallResult<Boolean>> cancel(AttemptId attempt) {
        HttpUrl url = url(EnginePaths.STREAM)
                .addQueryParameter(EnginePaths.ATTEMPT, attempt.value())
                .build();
        return call(new Request.Builder().url(url).delete(), Boolean.class);
    }

    @Override
    public CompletableFuture<CallResult<Boolean>> setPriority(AttemptId attempt, int priority) {
        HttpUrl url = url(EnginePaths.PRIORITY)
                .addQueryParameter(EnginePaths.ATTEMPT, attempt.value())
                .addQueryParameter("priority", Integer.toString(priority))
                .build();
        return call(new Request.Builder().url(url).put(RequestBody.create(new byte[0], JSON)), Boolean.class);
    }

    @Override
    public CompletableFuture<CallResult<List<StreamInfo>>> streams() {
        return send(calls, readRequest(EnginePaths.STREAMS), json -> EngineJson.read(json, STREAM_INFOS));
    }

    /**
     * Takes as long as the segment's prefill, so only the time between the engine's heartbeats is limited, not the
     * whole call.
     */
    @Override
    public CompletableFuture<CallResult<KvExport>> exportKv(EngineRequest segment) {
        Request.Builder post =
                new Request.Builder().url(url(EnginePaths.EXPORTS).build()).post(body(segment));
        return send(streams, post, json -> EngineJson.read(json, KvExport.class));
    }

    @Override
    public CompletableFuture<CallResult<Boolean>> importKv(KvExport export, EngineClient from) {
        if (!(from instanceof StandinEngineClient other)) {
            return CompletableFuture.completedFuture(new CallResult.NotSent<>("exporter speaks another protocol"));
        }
        Request.Builder post = new Request.Builder()
                .url(url(EnginePaths.IMPORT).build())
                .post(body(new ImportRequest(export, other.engine)));
        return call(post, Boolean.class);
    }

    @Override
    public CompletableFuture<CallResult<Boolean>> freeKv(String exportId) {
        HttpUrl url = url(EnginePaths.EXPORT)
                .addQueryParameter(EnginePaths.ID, exportId)
                .build();
        return call(new Request.Builder().url(url).delete(), Boolean.class);
    }

    @Override
    public CompletableFuture<CallResult<List<KvExport>>> exports() {
        return send(calls, readRequest(EnginePaths.EXPORTS), json -> EngineJson.read(json, EXPORTS));
    }

    @Override
    public CompletableFuture<CallResult<OrderAnswer>> order(EngineOrder order, Duration limit) {
        Request.Builder post =
                new Request.Builder().url(url(EnginePaths.ORDERS).build()).post(body(order));
        OkHttpClient limited = calls.newBuilder().callTimeout(limit).build();
        return send(limited, post, json -> EngineJson.read(json, OrderAnswer.class));
    }

    @Override
    public CompletableFuture<CallResult<EngineState>> state() {
        return call(readRequest(EnginePaths.STATE), EngineState.class);
    }

    @Override
    public CompletableFuture<CallResult<EngineLoad>> load() {
        return call(readRequest(EnginePaths.LOAD), EngineLoad.class);
    }

    @Override
    public CompletableFuture<CallResult<CacheEvents>> cacheEvents(long afterSequence) {
        HttpUrl url = url(EnginePaths.CACHE_EVENTS)
                .addQueryParameter(EnginePaths.AFTER, Long.toString(afterSequence))
                .build();
        return call(new Request.Builder().url(url), CacheEvents.class);
    }

    /** Does nothing: connections belong to the protocol, which all its clients share. */
    @Override
    public void close() {}

    private StreamCall stream(AttemptId attempt, boolean resumed, Request.Builder request, StreamListener listener) {
        SendTracker sendTracker = new SendTracker();
        Call call = streams.newCall(request.tag(SendTracker.class, sendTracker).build());
        return new StreamCall(attempt, resumed, sendTracker, listener, call).start();
    }

    private <T> CompletableFuture<CallResult<T>> call(Request.Builder request, Class<T> type) {
        return send(calls, request, json -> EngineJson.read(json, type));
    }

    /** Decodes an answer's body. */
    private interface AnswerDecoder<T> {
        T decode(byte[] json) throws IOException;
    }

    private <T> CompletableFuture<CallResult<T>> send(
            OkHttpClient client, Request.Builder request, AnswerDecoder<T> decoder) {
        CompletableFuture<CallResult<T>> result = new CompletableFuture<>();
        SendTracker sendTracker = new SendTracker();
        client.newCall(request.tag(SendTracker.class, sendTracker).build()).enqueue(new Callback() {
            @Override
            public void onFailure(Call call, IOException e) {
                String why = String.valueOf(e.getMessage());
                result.complete(
                        sendTracker.ran() == Ran.NO ? new CallResult.NotSent<>(why) : new CallResult.Unknown<>(why));
            }

            @Override
            public void onResponse(Call call, Response response) {
                result.complete(toResult(response, decoder));
            }
        });
        return result;
    }

    private static <T> CallResult<T> toResult(Response response, AnswerDecoder<T> decoder) {
        try (response) {
            if (!response.isSuccessful()) {
                String why = "engine answered " + response.code();
                boolean refused = response.code() < 500 && response.code() != 410 || response.code() == 503;
                return refused ? new CallResult.NotSent<>(why) : new CallResult.Unknown<>(why);
            }
            return new CallResult.Answered<>(decoder.decode(BoundedBody.read(response.body())));
        } catch (IOException e) {
            return new CallResult.Unknown<>(String.valueOf(e.getMessage()));
        }
    }

    private static RequestBody body(Object value) {
        return RequestBody.create(EngineJson.write(value), JSON);
    }

    private Request.Builder readRequest(String path) {
        return new Request.Builder().url(url(path).build());
    }

    private HttpUrl.Builder url(String path) {
        return new HttpUrl.Builder()
                .scheme("http")
                .host(engine.ip())
                .port(engine.port())
                .addPathSegments(path.substring(1));
    }
}
