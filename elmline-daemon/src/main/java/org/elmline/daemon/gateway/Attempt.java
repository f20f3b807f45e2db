package org.elmline.daemon.gateway;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.Consumer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.dispatch.AttemptEnd;
import org.elmline.core.dispatch.DispatchAnswer;
import org.elmline.core.dispatch.DispatchCall;
import org.elmline.core.dispatch.ServerNotice;
import org.elmline.daemon.http.ByteChunks;
import org.elmline.daemon.log.LogLine;

/** One attempt of a call on one backend server. Used on the I/O thread only. */
final class Attempt implements BackendCallListener {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final int BAD_REQUEST = 400;

    /** Longest answer that is buffered until it is complete, so that a call with a broken answer can be retried. */
    private static final int MAX_BUFFERED_BYTES = 16 * 1024 * 1024;

    /** Bytes of a plain answer with which its server counts as at work; less could come without end. */
    private static final int MIN_PROGRESS_BYTES = 1_024;

    private final Call call;
    private final CallParts parts;
    private final DispatchCall placementRequest;
    private final DispatchAnswer.Granted granted;
    private final HelperReservations reservations;
    private final InactivityTimer inactivityTimer;
    private final ServerSentEventParser events = new ServerSentEventParser();
    private ByteChunks bufferedBody;
    private long timeoutMillis;
    private BackendCall backendCall;
    private AnswerObserver observer;
    private StreamForwarder stream;
    private AnswerHead head;
    private HeaderMap headers;
    private int status;
    private long headAtNanos;
    private long lastByteAtNanos;
    private AttemptEnd end;
    private boolean sent;
    private boolean silent;
    private boolean silenceReported;
    private boolean serverWatched;

    Attempt(Call call, CallParts parts, DispatchCall placementRequest, DispatchAnswer.Granted granted) {
        this.call = call;
        this.parts = parts;
        this.placementRequest = placementRequest;
        this.granted = granted;
        this.reservations = new HelperReservations(call.context(), granted);
        this.inactivityTimer =
                new InactivityTimer(call.context().thread(), call.context().clock(), this::onInactive);
    }

    /** Reserves the memory that the call needs on helpers, then sends it. */
    void start() {
        reservations.reserve(reserved -> {
            if (end != null) {
                return;
            }
            if (reserved) {
                send();
            } else {
                fail(AttemptEnd.NOT_SENT_HERE, "no memory on a helper");
            }
        });
    }

    private void send() {
        if (call.isEnded()) {
            return;
        }
        GatewayContext context = call.context();
        HttpServerExchange exchange = call.exchange();
        HeaderMap requestHeaders = context.protocol()
                .forwardedHeaders(
                        exchange.getRequestHeaders(),
                        call.organisation(),
                        granted,
                        call.remainingMillis(),
                        call.lastEventId());
        if (call.memory().body().length() > 0 || exchange.getRequestHeaders().contains(Headers.CONTENT_LENGTH)) {
            requestHeaders.put(Headers.CONTENT_LENGTH, call.memory().body().length());
        }
        sent = true;
        BackendTarget target = new BackendTarget(granted.server(), granted.address());
        observer = new AnswerObserver(
                context.quarantine(),
                context.clock(),
                target,
                context.backends().gate().bornMillis(granted.server()),
                placementRequest.service(),
                call.head().requestId(),
                parts);
        backendCall = new BackendCall(
                context.backends(),
                target,
                RequestPurpose.NEW_WORK,
                BackendCall.newRequest(exchange.getRequestMethod(), BackendCall.pathAndQuery(exchange), requestHeaders),
                call.memory().body(),
                !call.route().mayRetry(),
                this);
        backendCall.start();
        startFirstEventTimer();
    }

    /** Whether the server may have started to run the call. */
    boolean mayHaveRun() {
        return sent && !backendCall.isHeld();
    }

    /** Whether the server may be kept from beginning an answer. */
    boolean hasNoHead() {
        return head == null;
    }

    /** Milliseconds since the head of the answer arrived; negative before. */
    long millisSinceHead() {
        return head == null ? -1 : (call.context().clock().nanos() - headAtNanos) / NANOS_PER_MILLI;
    }

    /** Milliseconds since the last byte of the answer arrived; negative before the head. */
    long millisSinceLastByte() {
        return head == null ? -1 : (call.context().clock().nanos() - lastByteAtNanos) / NANOS_PER_MILLI;
    }

    BackendServerId server() {
        return granted.server();
    }

    /** How the attempt ended; null while it is under way. */
    AttemptEnd end() {
        return end;
    }

    /** The entry that forwards the call to the server; null without one. */
    HostId relay() {
        return backendCall == null ? null : backendCall.relay();
    }

    /** Adds to a log line what shows whether a refusal is one of this call. */
    LogLine addRefusalTo(LogLine line) {
        return backendCall == null ? line : backendCall.addRefusalTo(line);
    }

    /** Cancels the attempt at once and reports its end to the dispatcher. */
    void cancel(AttemptEnd how) {
        if (tryEnd(how)) {
            if (backendCall != null) {
                backendCall.cancel();
                observeUnresolved(how);
            }
            call.context().dispatchClient().reportEnd(placementRequest, how, notice());
        }
    }

    private void observeUnresolved(AttemptEnd how) {
        if (backendCall.isSentDirectly()) {
            observer.onUnresolved(how);
        }
    }

    private void startFirstEventTimer() {
        if (end == null && call.route().mayRetry()) {
            restartTimer(SilenceTimeouts.firstMillis(call.route(), granted, placementRequest.aimLeftMillis()));
        }
    }

    private void restartTimer(long millis) {
        timeoutMillis = millis;
        inactivityTimer.restart(millis);
    }

    private void onInactive() {
        if (end != null) {
            return;
        }
        if (backendCall.isHeld()) {
            // Nothing was sent yet, so the server cannot answer.
            startFirstEventTimer();
            return;
        }
        restartTimer(timeoutMillis);
        // A server that is not read for the sake of a slow caller is not silent. It would be reported as failed, and
        // another one would run the call too.
        if (backendCall.isPaused()) {
            return;
        }
        watchServer();
        if (call.mayRetry()) {
            silent = true;
            reportSilence();
            call.onAttemptSilent(this);
        }
    }

    private void watchServer() {
        if (!serverWatched) {
            serverWatched = true;
            observeUnresolved(AttemptEnd.SILENT);
        }
    }

    private void reportSilence() {
        if (silenceReported) {
            return;
        }
        silenceReported = true;
        backendCall.recordSilence();
        // Of a request that another entry forwards it is not known whether the server or that entry is silent.
        if (!backendCall.isRelayed()) {
            call.context().dispatchClient().reportSilence(placementRequest);
        }
    }

    /** Whether nothing has arrived for so long that another server should run the call. */
    boolean isSilent() {
        return silent;
    }

    /** Reports once more that the server is silent, unless it answers within this time. */
    void checkAgainAfter(long millis) {
        if (end == null && silent) {
            inactivityTimer.restart(millis);
        }
    }

    @Override
    public void onNotSent(String why) {
        sent = false;
        fail(AttemptEnd.NOT_SENT, why);
    }

    @Override
    public void onWithheld(String why) {
        sent = false;
        fail(AttemptEnd.NOT_SENT_HERE, why);
    }

    @Override
    public void onHead(int answerStatus, HeaderMap answerHeaders, AnswerHead answerHead) {
        status = answerStatus;
        headAtNanos = call.context().clock().nanos();
        lastByteAtNanos = headAtNanos;
        headers = answerHeaders;
        head = answerHead;
        String fault = head.fault(status, call.head().requestId(), backendCall.isConnectionReused());
        if (fault != null) {
            rejectAnswer(fault);
            return;
        }
        if (call.route().isStreaming() && isSuccess()) {
            stream = call.stream(status, headers);
        } else if (isFinal()) {
            call.onAnswering(this);
            startBuffering();
        } else if (call.attempts().hasOnly(this)) {
            startBuffering();
        }
    }

    private void startBuffering() {
        bufferedBody = call.memory().newAnswer();
        call.memory().expectAnswer(declaredLength(headers));
    }

    /** Whether the answer is for the caller, whatever another server would answer. */
    private boolean isFinal() {
        return !head.wrongServer() && !isNotExecuted() && !isRetryableError() && !call.hasBegunStream();
    }

    /** A bad request is one for any server. */
    private boolean isNotExecuted() {
        return head.notExecuted() && status != BAD_REQUEST;
    }

    private boolean isRetryableError() {
        return status >= MIN_SERVER_ERROR_STATUS && call.route().mayRetry();
    }

    /** The length that an answer declares; negative without a readable one. */
    private static long declaredLength(HeaderMap answerHeaders) {
        String length = answerHeaders.getFirst(Headers.CONTENT_LENGTH);
        try {
            return length == null ? -1 : Long.parseLong(length);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** What the server states about itself; null without an answer of this server. */
    private ServerNotice notice() {
        return head == null || head.wrongServer() ? null : head.notice();
    }

    private boolean isSuccess() {
        return AnswerHead.isSuccess(status);
    }

    @Override
    public void onData(ByteBuffer bytes) {
        if (end != null) {
            return;
        }
        lastByteAtNanos = call.context().clock().nanos();
        if (stream == null) {
            buffer(bytes);
            return;
        }
        String fault = forward(bytes);
        if (fault != null) {
            rejectAnswer(fault);
        }
    }

    /** Forwards the events that the bytes complete. Returns what is wrong with them, null when they are valid. */
    private String forward(ByteBuffer bytes) {
        List<ServerSentEventParser.Event> complete;
        try {
            complete = events.parse(bytes);
        } catch (IllegalStateException e) {
            return e.getMessage();
        }
        call.memory().setPartialEvent(call.attempts().partialEventBytes());
        return stream.forward(this, complete);
    }

    int partialEventBytes() {
        return events.heldBytes();
    }

    private void buffer(ByteBuffer bytes) {
        if (bufferedBody == null) {
            return;
        }
        int length = bytes.remaining();
        call.memory().addToAnswer(bufferedBody, bytes);
        if (bufferedBody.length() / MIN_PROGRESS_BYTES > (bufferedBody.length() - length) / MIN_PROGRESS_BYTES) {
            silent = false;
            if (call.route().mayRetry()) {
                restartTimer(timeoutMillis);
            }
        }
        if (bufferedBody.length() > MAX_BUFFERED_BYTES) {
            rejectAnswer("an answer of over " + MAX_BUFFERED_BYTES + " bytes");
        }
    }

    /** Handles an event that was forwarded to the caller. */
    void onEventForwarded() {
        silent = false;
        call.context().dispatchClient().reportFirstToken(placementRequest, notice());
        observe(AnswerObserver::onContent);
        if (call.route().mayRetry()) {
            restartTimer(SilenceTimeouts.nextEventMillis(call.route()));
        }
    }

    /** The entry that forwards an answer observes it. */
    private void observe(Consumer<AnswerObserver> observation) {
        if (!backendCall.isRelayed()) {
            observation.accept(observer);
        }
    }

    @Override
    public boolean admitsRead() {
        return stream == null
                ? call.memory().admitsAnswerRead(call.attempts()::resumeReads)
                : call.memory().admitsStreamRead(call.attempts()::resumeReads);
    }

    void pause() {
        backendCall.pause();
    }

    void resume() {
        if (backendCall != null) {
            backendCall.resume();
        }
    }

    ByteChunks bufferedBody() {
        return bufferedBody;
    }

    @Override
    public void onComplete() {
        if (end != null) {
            return;
        }
        if (stream != null) {
            completeStream();
        } else if (head.wrongServer()) {
            fail(AttemptEnd.WRONG_SERVER, "another server has the address");
        } else if (isNotExecuted()) {
            fail(AttemptEnd.NOT_EXECUTED, "turned down with " + status);
        } else if (bufferedBody == null) {
            // The answer is not for the caller while another server runs the call.
            fail(status >= MIN_SERVER_ERROR_STATUS ? AttemptEnd.SERVER_ERROR : AttemptEnd.DONE, "answered " + status);
        } else if (isRetryableError() && call.hasAlternative(this)) {
            tryEnd(AttemptEnd.SERVER_ERROR);
            call.context().dispatchClient().reportEnd(placementRequest, AttemptEnd.SERVER_ERROR, notice());
            call.onServerError(this, status, headers, bufferedBody);
        } else {
            tryEnd(status >= MIN_SERVER_ERROR_STATUS ? AttemptEnd.SERVER_ERROR : AttemptEnd.DONE);
            if (isSuccess() && bufferedBody.length() > 0) {
                observe(AnswerObserver::onContent);
            }
            if (!head.notExecuted() && status < MIN_SERVER_ERROR_STATUS) {
                observe(AnswerObserver::onComplete);
            }
            call.context().dispatchClient().reportEnd(placementRequest, end, notice());
            call.onAnswer(this, status, headers, bufferedBody);
        }
    }

    private void completeStream() {
        if (events.hasPartialEvent()) {
            breakOff("the stream ends amid an event");
            return;
        }
        tryEnd(AttemptEnd.DONE);
        call.onAnswering(this);
        observe(AnswerObserver::onComplete);
        call.context().dispatchClient().reportEnd(placementRequest, AttemptEnd.DONE, notice());
        stream.forwardRest(events.rest());
        stream.complete();
    }

    @Override
    public void onBroken(String why) {
        breakOff(why);
    }

    /**
     * Ends the attempt because its answer broke off. Where the server may have ended because of the prompt, the call goes
     * on once that is reported, so that a second server is not sent a prompt that is known to crash it.
     */
    private void breakOff(String why) {
        if (!tryEnd(AttemptEnd.BROKEN)) {
            return;
        }
        call.context().dispatchClient().reportFailure(placementRequest, AttemptEnd.BROKEN, notice(), null);
        Runnable proceed = () -> call.onAttemptFailed(this, why, null);
        if (backendCall.isRelayed()) {
            proceed.run();
        } else if (head != null && !isSuccess()) {
            observer.onErrorBroken();
            proceed.run();
        } else {
            observer.onBroken(proceed);
        }
    }

    /** Rejects an unusable answer and stops the server's work on it. */
    private void rejectAnswer(String why) {
        backendCall.cancel();
        observeUnresolved(AttemptEnd.BROKEN);
        fail(AttemptEnd.BROKEN, why);
    }

    private void fail(AttemptEnd how, String why) {
        if (tryEnd(how)) {
            BackendServerId helper = faultyHelper();
            call.context().dispatchClient().reportFailure(placementRequest, how, notice(), helper);
            call.onAttemptFailed(this, why, helper);
        }
    }

    /** The helper because of which the server refused the request; null if there is none. */
    private BackendServerId faultyHelper() {
        BackendServerId faulty = head == null ? null : head.faultyServer();
        boolean isHelper =
                granted.helpers().stream().anyMatch(each -> each.server().equals(faulty));
        return isHelper ? faulty : null;
    }

    private boolean tryEnd(AttemptEnd how) {
        if (end != null) {
            return false;
        }
        end = how;
        inactivityTimer.cancel();
        reservations.release();
        return true;
    }
}
