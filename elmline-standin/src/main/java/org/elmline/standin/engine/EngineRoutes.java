package org.elmline.standin.engine;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Optional;

import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.elmline.core.common.AttemptId;
import org.elmline.core.engine.EngineOrder;
import org.elmline.core.engine.EngineRequest;
import org.elmline.standin.StandinHttpResponses;
import org.elmline.wire.engine.EngineJson;
import org.elmline.wire.engine.EnginePaths;
import org.elmline.wire.engine.ExportedKv;
import org.elmline.wire.engine.ImportRequest;
import org.xnio.IoUtils;

/**
 * The engine's HTTP interface. Requests that wait (streams, exports, imports) take a worker thread; the others are
 * answered on the I/O thread, so that a cancellation is handled even while every worker writes a stream.
 */
final class EngineRoutes {
    private static final String NDJSON = "application/x-ndjson";

    private final Engine engine;
    private final EngineFaults faults;
    private final OkHttpClient importClient;
    private final Runnable crash;

    /** @param crash ends the engine at once */
    EngineRoutes(Engine engine, EngineFaults faults, OkHttpClient importClient, Runnable crash) {
        this.engine = engine;
        this.faults = faults;
        this.importClient = importClient;
        this.crash = crash;
    }

    HttpHandler handler() {
        return Handlers.routing()
                .post(EnginePaths.STREAMS, withJsonBody(EngineRequest.class, this::start))
                .get(EnginePaths.STREAMS, exchange -> StandinHttpResponses.send(exchange, engine.streamInfos()))
                .get(EnginePaths.STREAM, this::resume)
                .delete(EnginePaths.STREAM, this::cancel)
                .put(EnginePaths.PRIORITY, this::changePriority)
                .post(EnginePaths.EXPORTS, withJsonBody(EngineRequest.class, this::export))
                .get(EnginePaths.EXPORTS, exchange -> StandinHttpResponses.send(exchange, engine.exports()))
                .get(EnginePaths.EXPORT, this::sendExport)
                .delete(EnginePaths.EXPORT, this::freeExport)
                .post(EnginePaths.IMPORT, withJsonBody(ImportRequest.class, this::importKv))
                .post(
                        EnginePaths.ORDERS,
                        withJsonBody(EngineOrder.class, (e, o) -> StandinHttpResponses.send(e, engine.order(o))))
                .get(EnginePaths.STATE, exchange -> StandinHttpResponses.send(exchange, engine.state()))
                .get(EnginePaths.LOAD, exchange -> StandinHttpResponses.send(exchange, engine.load()))
                .get(EnginePaths.CACHE_EVENTS, this::cacheEvents)
                .put("/standin/faults", withJsonBody(EngineFaults.Settings.class, this::setFaults));
    }

    /** Handles a request whose JSON body has been read completely. */
    private interface BodyHandler<T> {
        void handle(HttpServerExchange exchange, T body);
    }

    private static <T> HttpHandler withJsonBody(Class<T> type, BodyHandler<T> handler) {
        return exchange -> exchange.getRequestReceiver().receiveFullBytes((received, bytes) -> {
            T value;
            try {
                value = EngineJson.read(bytes, type);
            } catch (IOException e) {
                StandinHttpResponses.sendProblem(received, 400, "not a " + type.getSimpleName());
                return;
            }
            handler.handle(received, value);
        });
    }

    private void start(HttpServerExchange exchange, EngineRequest request) {
        if (!isComplete(request, 1)) {
            StandinHttpResponses.sendProblem(
                    exchange, 400, "attempt, host, incarnation, model, prompt and sizes are needed");
            return;
        }
        Engine.StartResult started = engine.start(request);
        if (started.refusal() != null) {
            StandinHttpResponses.sendProblem(
                    exchange, started.refusal().status(), started.refusal().name());
            return;
        }
        EngineStream stream = started.stream();
        boolean crashes = faults.crashesOn(request.prompt());
        exchange.dispatch((HttpHandler) dispatched -> {
            if (crashes) {
                crashAtFirstPiece(dispatched, stream);
            } else {
                writeStream(dispatched, stream, stream.firstIndex());
            }
        });
    }

    private void crashAtFirstPiece(HttpServerExchange exchange, EngineStream stream) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, NDJSON);
        exchange.startBlocking();
        try {
            exchange.getOutputStream().flush();
            stream.awaitMore(stream.firstIndex(), Integer.MAX_VALUE);
        } catch (IOException e) {
            // The reader has left; the engine ends all the same.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        crash.run();
        IoUtils.safeClose(exchange.getConnection());
    }

    /** Whether all required fields are set. A segment to export generates nothing, so it needs no output size. */
    private static boolean isComplete(EngineRequest request, int minOutputTokens) {
        return request.attempt() != null
                && request.host() != null
                && request.incarnation() != null
                && request.model() != null
                && request.prompt() != null
                && request.promptTokens() > 0
                && request.maxOutputTokens() >= minOutputTokens;
    }

    private void resume(HttpServerExchange exchange) {
        AttemptId attempt = attempt(exchange);
        Integer offset = integerParameter(exchange, EnginePaths.OFFSET);
        if (attempt == null || offset == null || offset < 0) {
            StandinHttpResponses.sendProblem(exchange, 400, "attempt and offset are needed");
            return;
        }
        Optional<EngineStream> stream = engine.stream(attempt);
        if (stream.isEmpty()) {
            StandinHttpResponses.sendProblem(exchange, 404, "no such attempt");
            return;
        }
        exchange.dispatch((HttpHandler) dispatched -> writeStream(dispatched, stream.get(), offset));
    }

    private void writeStream(HttpServerExchange exchange, EngineStream stream, int offset) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, NDJSON);
        exchange.startBlocking();
        OutputStream out = exchange.getOutputStream();
        try {
            // Sends the headers at once, to notify the reader before the first token that the attempt was accepted.
            out.flush();
            new StreamWriter(engine, faults, out).write(stream, offset);
        } catch (IOException e) {
            IoUtils.safeClose(exchange.getConnection());
        } catch (InterruptedException e) {
            IoUtils.safeClose(exchange.getConnection());
            Thread.currentThread().interrupt();
        }
    }

    private void cancel(HttpServerExchange exchange) {
        AttemptId attempt = attempt(exchange);
        if (attempt == null) {
            StandinHttpResponses.sendProblem(exchange, 400, "attempt is needed");
            return;
        }
        engine.cancel(attempt);
        StandinHttpResponses.send(exchange, true);
    }

    private void changePriority(HttpServerExchange exchange) {
        AttemptId attempt = attempt(exchange);
        Integer priority = integerParameter(exchange, "priority");
        if (attempt == null || priority == null) {
            StandinHttpResponses.sendProblem(exchange, 400, "attempt and priority are needed");
            return;
        }
        StandinHttpResponses.send(exchange, engine.changePriority(attempt, priority));
    }

    private void export(HttpServerExchange exchange, EngineRequest segment) {
        if (!isComplete(segment, 0)) {
            StandinHttpResponses.sendProblem(
                    exchange, 400, "attempt, host, incarnation, model, prompt and sizes are needed");
            return;
        }
        Engine.StartResult started = engine.startExport(segment);
        if (started.refusal() != null) {
            StandinHttpResponses.sendProblem(
                    exchange, started.refusal().status(), started.refusal().name());
            return;
        }
        exchange.dispatch((HttpHandler) dispatched -> writeExport(dispatched, started.stream()));
    }

    /**
     * Writes the export when it is ready. Until then it writes spaces as heartbeats, which JSON allows before the
     * value.
     */
    private void writeExport(HttpServerExchange exchange, EngineStream stream) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.startBlocking();
        OutputStream out = exchange.getOutputStream();
        try {
            while (!stream.isFinished() && !stream.isCancelled()) {
                out.write(' ');
                out.flush();
                stream.awaitMore(Integer.MAX_VALUE, 500);
            }
            Optional<ExportedKv> exported = engine.findExport(stream.attempt().value());
            if (exported.isEmpty()) {
                throw new IOException("export cancelled");
            }
            out.write(EngineJson.write(exported.get().export()));
        } catch (IOException e) {
            IoUtils.safeClose(exchange.getConnection());
        } catch (InterruptedException e) {
            IoUtils.safeClose(exchange.getConnection());
            Thread.currentThread().interrupt();
        }
    }

    private void sendExport(HttpServerExchange exchange) {
        Optional<ExportedKv> exported =
                engine.findExport(String.valueOf(StandinHttpResponses.queryParameter(exchange, EnginePaths.ID)));
        if (exported.isEmpty()) {
            StandinHttpResponses.sendProblem(exchange, 404, "no such export");
            return;
        }
        StandinHttpResponses.send(exchange, exported.get());
    }

    private void freeExport(HttpServerExchange exchange) {
        engine.freeExport(String.valueOf(StandinHttpResponses.queryParameter(exchange, EnginePaths.ID)));
        StandinHttpResponses.send(exchange, true);
    }

    private void importKv(HttpServerExchange exchange, ImportRequest request) {
        if (request.export() == null || request.from() == null) {
            StandinHttpResponses.sendProblem(exchange, 400, "export and from are needed");
            return;
        }
        exchange.dispatch((HttpHandler) dispatched -> StandinHttpResponses.send(dispatched, fetchAndImport(request)));
    }

    private boolean fetchAndImport(ImportRequest request) {
        HttpUrl url = new HttpUrl.Builder()
                .scheme("http")
                .host(request.from().ip())
                .port(request.from().port())
                .addPathSegments(EnginePaths.EXPORT.substring(1))
                .addQueryParameter(EnginePaths.ID, request.export().id())
                .build();
        try (Response response =
                importClient.newCall(new Request.Builder().url(url).build()).execute()) {
            return response.isSuccessful()
                    && engine.importKv(EngineJson.read(response.body().bytes(), ExportedKv.class));
        } catch (IOException e) {
            return false;
        }
    }

    private void cacheEvents(HttpServerExchange exchange) {
        String after = StandinHttpResponses.queryParameter(exchange, EnginePaths.AFTER);
        try {
            StandinHttpResponses.send(exchange, engine.cacheEventsAfter(after == null ? 0 : Long.parseLong(after)));
        } catch (NumberFormatException e) {
            StandinHttpResponses.sendProblem(exchange, 400, "after is a number");
        }
    }

    private void setFaults(HttpServerExchange exchange, EngineFaults.Settings settings) {
        try {
            faults.apply(settings);
            StandinHttpResponses.send(exchange, true);
        } catch (IllegalArgumentException e) {
            StandinHttpResponses.sendProblem(exchange, 400, e.getMessage());
        }
    }

    private static AttemptId attempt(HttpServerExchange exchange) {
        try {
            return AttemptId.of(StandinHttpResponses.queryParameter(exchange, EnginePaths.ATTEMPT));
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private static Integer integerParameter(HttpServerExchange exchange, String name) {
        try {
            return Integer.valueOf(StandinHttpResponses.queryParameter(exchange, name));
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
