package org.elmline.daemon.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import org.elmline.core.dispatch.AttemptEnd;
import org.elmline.core.dispatch.DispatchAnswer;
import org.elmline.core.dispatch.DispatchCall;
import org.elmline.core.dispatch.ServerRateLimit;
import org.elmline.core.routing.CallRoute;

/** One try of a call on one backend server. Used on the I/O thread only. */
final class Attempt implements BackendListener {
    private static final int SUCCESS_FROM = 200;
    private static final int SUCCESS_TO = 299;
    private static final int SERVER_ERROR = 500;

    /** Longest answer that is held until it is complete, which lets a broken one be asked for again. */
    private static final int MAX_HELD_BYTES = 16 * 1024 * 1024;

    /** Silence before a stream's first event that is borne beyond twice the predicted time; a busy engine's worst. */
    private static final long FIRST_EVENT_SLACK_MILLIS = 500;

    /** Time after which an engine gives up on a helper that is gone, and a round trip. */
    private static final long HELPER_STALL_MILLIS = 1_600;

    /** Pauses of the allowed length that a stream may be silent for before its server is taken for dead. */
    private static final int SILENT_GAPS = 3;

    /** Shortest such silence; engines stall for a moment when many prompts come at once. */
    private static final long SILENT_MILLIS = 700;

    /** Part of the time left to the aim after which an answer that may be asked for twice is asked for elsewhere. */
    private static final double IMPATIENCE = 0.65;

    private static final long LEAST_PATIENCE_MILLIS = 40;

    private final Call call;
    private final DispatchCall placed;
    private final DispatchAnswer.Granted granted;
    private final Reservations reservations;
    private final SilenceTimer silence;
    private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
    private BackendCall backend;
    private StreamAnswer stream;
    private AnswerHead head;
    private HeaderMap headers;
    private int status;
    private boolean sent;
    private boolean over;

    Attempt(Call call, DispatchCall placed, DispatchAnswer.Granted granted) {
        this.call = call;
        this.placed = placed;
        this.granted = granted;
        this.reservations = new Reservations(call.parts(), granted);
        this.silence = new SilenceTimer(call.parts().thread(), call.parts().clock(), this::silent);
    }

    /** Reserves what memory the call needs elsewhere, then sends it. */
    void start() {
        reservations.begin(given -> {
            if (over) {
                return;
            }
            if (given) {
                send();
            } else {
                fail(AttemptEnd.NOT_SENT_HERE, "no memory on a helper");
            }
        });
    }

    private void send() {
        GatewayParts parts = call.parts();
        HttpServerExchange exchange = call.exchange();
        HeaderMap to = parts.protocol()
                .forward(
                        exchange.getRequestHeaders(),
                        call.organisation(),
                        granted,
                        call.leftMillis(),
                        call.afterEvent());
        if (call.body().length > 0 || exchange.getRequestHeaders().contains(Headers.CONTENT_LENGTH)) {
            to.put(Headers.CONTENT_LENGTH, call.body().length);
        }
        String query = exchange.getQueryString();
        String path = exchange.getRequestURI() + (query == null || query.isEmpty() ? "" : "?" + query);
        sent = true;
        backend = new BackendCall(
                parts.connections(),
                granted.address(),
                BackendCall.request(exchange.getRequestMethod(), path, to),
                call.body(),
                !call.route().mayRetry(),
                parts.protocol(),
                this);
        backend.start();
        watchFirst();
    }

    /** Whether the server may have begun to work on the call. */
    boolean mayHaveRun() {
        return sent;
    }

    /** Ends the attempt at once. */
    void cancel(AttemptEnd end) {
        if (end()) {
            if (backend != null) {
                backend.cancel();
            }
            call.parts().dispatch().end(placed, end, limit());
        }
    }

    private void watchFirst() {
        CallRoute route = call.route();
        if (over || !route.mayRetry()) {
            return;
        }
        long patience = route.isStreaming()
                ? 2 * granted.firstMillis() + FIRST_EVENT_SLACK_MILLIS + helperSlack()
                : Math.max(LEAST_PATIENCE_MILLIS, (long) (IMPATIENCE * placed.aimLeftMillis()));
        silence.expectWithin(patience);
    }

    /** An engine whose helper has died says so after a while; sooner, a slow group would be taken for a dead one. */
    private long helperSlack() {
        return granted.helpers().isEmpty() ? 0 : HELPER_STALL_MILLIS;
    }

    private void silent() {
        if (over || !call.mayTryAgain()) {
            return;
        }
        cancel(AttemptEnd.SILENT);
        call.failed(AttemptEnd.SILENT, "silent");
    }

    @Override
    public void notSent(String why) {
        sent = false;
        fail(AttemptEnd.NOT_SENT, why);
    }

    @Override
    public void head(int answered, HeaderMap answerHeaders, AnswerHead read) {
        status = answered;
        headers = answerHeaders;
        head = read;
        call.parts().limits().take(granted.server(), read.limit(), "answer");
        boolean others =
                head.requestId() != null && !head.requestId().equals(call.head().requestId());
        if (others || head.encoded()) {
            spoiled(others ? "the answer belongs to another request" : "the answer is encoded");
            return;
        }
        if (success() && !head.sealed()) {
            spoiled("an unsigned answer");
            return;
        }
        if (call.route().isStreaming() && success()) {
            stream = call.stream(status, headers);
            stream.from(this);
        }
    }

    /** What the answer says of the requests that its server takes; null without an answer. */
    private ServerRateLimit limit() {
        return head == null ? null : head.limit();
    }

    private boolean success() {
        return status >= SUCCESS_FROM && status <= SUCCESS_TO;
    }

    @Override
    public void data(ByteBuffer bytes) {
        if (over) {
            return;
        }
        if (stream == null) {
            hold(bytes);
            return;
        }
        String fault = stream.take(bytes);
        if (fault != null) {
            spoiled(fault);
        }
    }

    private void hold(ByteBuffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        whole.writeBytes(copy);
        if (whole.size() > MAX_HELD_BYTES) {
            spoiled("an answer of over " + MAX_HELD_BYTES + " bytes");
        }
    }

    /** An event has gone on to the caller. */
    void eventPassed() {
        call.parts().dispatch().writing(placed, limit());
        if (call.route().mayRetry()) {
            silence.expectWithin(
                    Math.max(SILENT_MILLIS, (long) SILENT_GAPS * call.route().gapMillis()));
        }
    }

    void pause() {
        backend.pause();
    }

    void resume() {
        backend.resume();
    }

    @Override
    public void complete() {
        if (over) {
            return;
        }
        if (stream != null) {
            completeStream();
        } else if (head.wrongServer()) {
            fail(AttemptEnd.WRONG_SERVER, "another server has the address");
        } else if (head.notExecuted() && status != 400) {
            fail(AttemptEnd.NOT_EXECUTED, "turned down with " + status);
        } else if (status >= SERVER_ERROR && call.route().mayRetry() && call.mayTryAgain()) {
            end();
            call.parts().dispatch().end(placed, AttemptEnd.SERVER_ERROR, limit());
            call.serverFailed(status, headers, whole);
        } else {
            end();
            AttemptEnd end = status >= SERVER_ERROR ? AttemptEnd.SERVER_ERROR : AttemptEnd.DONE;
            call.parts().dispatch().end(placed, end, limit());
            call.answer(status, headers, whole);
        }
    }

    private void completeStream() {
        if (stream.inEvent()) {
            fail(AttemptEnd.BROKEN, "the stream ends amid an event");
            return;
        }
        end();
        call.parts().dispatch().end(placed, AttemptEnd.DONE, limit());
        stream.complete();
    }

    @Override
    public void broken(String why) {
        fail(AttemptEnd.BROKEN, why);
    }

    /** The answer can't be used; the server need not go on with it. */
    private void spoiled(String why) {
        backend.cancel();
        fail(AttemptEnd.BROKEN, why);
    }

    private void fail(AttemptEnd end, String why) {
        if (end()) {
            call.parts().dispatch().end(placed, end, limit());
            call.failed(end, why);
        }
    }

    private boolean end() {
        if (over) {
            return false;
        }
        over = true;
        silence.stop();
        reservations.release();
        return true;
    }
}
