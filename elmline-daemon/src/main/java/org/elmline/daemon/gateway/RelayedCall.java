package org.elmline.daemon.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

import io.undertow.client.ClientRequest;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.dispatch.AttemptEnd;
import org.elmline.daemon.http.CallerDisconnectDetector;
import org.xnio.IoUtils;

/**
 * One request that this entry forwards for another one: sent once, its answer passed back byte by byte as it arrives.
 * Used on the I/O thread only.
 */
final class RelayedCall implements OpenCall, BackendCallListener {
    private final BackendAccess access;
    private final PathCheck pathCheck;
    private final AnswerObserver observer;
    private final BackendServerId server;
    private final String requestId;
    private final HttpServerExchange exchange;
    private final CallMemory memory;
    private final Consumer<RelayedCall> onEnd;
    private final CallerDisconnectDetector disconnectDetector;
    private final BackendCall backendCall;
    private CallerChannel answer;
    private boolean hasHead;
    private boolean answersRequest;
    private boolean success;
    private boolean answerEnded;
    private boolean ended;

    /**
     * @param requestId the caller's id of the request; null without one
     * @param onEnd called once, when the answer is passed back or will not be
     */
    RelayedCall(
            BackendAccess access,
            PathCheck pathCheck,
            AnswerObserver observer,
            CallMemory memory,
            RelayRequest relayRequest,
            String requestId,
            Consumer<RelayedCall> onEnd) {
        this.access = access;
        this.pathCheck = pathCheck;
        this.observer = observer;
        this.server = relayRequest.target().server();
        this.requestId = requestId;
        this.memory = memory;
        this.exchange = memory.exchange();
        memory.onEnded(this::end);
        this.onEnd = onEnd;
        this.disconnectDetector = new CallerDisconnectDetector(exchange);
        ClientRequest request = BackendCall.newRequest(
                exchange.getRequestMethod(),
                BackendCall.pathAndQuery(exchange),
                forwardedHeaders(exchange.getRequestHeaders()));
        this.backendCall = new BackendCall(
                access,
                relayRequest.target(),
                relayRequest.purpose(),
                request,
                memory.body(),
                relayRequest.nonRepeatable(),
                this);
    }

    private static HeaderMap forwardedHeaders(HeaderMap received) {
        HeaderMap headers = new HeaderMap();
        received.forEach(each -> headers.putAll(each.getHeaderName(), each));
        RelayRequest.removeFrom(headers);
        headers.remove(Headers.CONNECTION);
        return headers;
    }

    void start() {
        backendCall.start();
    }

    @Override
    public void onNotSent(String why) {
        pathCheck.check(server, cut -> refuse(cut ? RelayRefusal.NO_PATH : RelayRefusal.UNREACHABLE));
    }

    @Override
    public void onWithheld(String why) {
        refuse(RelayRefusal.WITHHELD);
    }

    private void refuse(RelayRefusal refusal) {
        if (tryEnd()) {
            RelayHandler.refuse(exchange, refusal);
        }
    }

    @Override
    public void onHead(int status, HeaderMap headers, AnswerHead answerHead) {
        if (answerHead.mismatch(status, requestId, backendCall.isConnectionReused()) != null) {
            // Only this entry can detect that the answer may be a late one on its connection to the server.
            rejectAnswer();
            return;
        }
        success = AnswerHead.isSuccess(status);
        answersRequest =
                status < StatusCodes.INTERNAL_SERVER_ERROR && !answerHead.notExecuted() && !answerHead.wrongServer();
        hasHead = true;
        exchange.setStatusCode(status);
        HeaderMap responseHeaders = exchange.getResponseHeaders();
        access.protocol().copyAnswerHeaders(headers, responseHeaders);
        // From a server they would be false statements about the request.
        responseHeaders.remove(RelayRequest.REFUSAL);
        responseHeaders.remove(RelayRequest.NO_ANSWER);
        if (!responseHeaders.contains(Headers.CONTENT_LENGTH)) {
            // Set explicitly: an answer that ends with its connection would look complete when it is broken off.
            responseHeaders.put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        }
    }

    /** Opened with the first byte of the body: until then it can still be stated that the server gave no answer. */
    private CallerChannel answer() {
        if (answer == null) {
            answer = new CallerChannel(exchange, memory, backendCall::resume, this::onChannelClosed);
        }
        return answer;
    }

    @Override
    public boolean admitsRead() {
        return memory.admitsStreamRead(backendCall::resume);
    }

    @Override
    public void onData(ByteBuffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        if (success) {
            observer.onContent();
        }
        if (!answer().write(copy)) {
            backendCall.pause();
        }
    }

    @Override
    public void onComplete() {
        answerEnded = true;
        if (answersRequest) {
            observer.onComplete();
        }
        answer().complete();
    }

    /** The request may have run. Without any byte of a body that is stated, as this entry is not the cause. */
    @Override
    public void onBroken(String why) {
        answerEnded = true;
        Runnable end = answer == null ? this::stateNoAnswer : answer::abort;
        if (hasHead && !success) {
            observer.onErrorBroken();
            end.run();
        } else {
            observer.onBroken(end);
        }
    }

    private void rejectAnswer() {
        answerEnded = true;
        backendCall.cancel();
        observer.onUnresolved(AttemptEnd.BROKEN);
        stateNoAnswer();
    }

    private void stateNoAnswer() {
        if (tryEnd()) {
            sendNoAnswer();
        }
    }

    private void sendNoAnswer() {
        exchange.getResponseHeaders().clear();
        exchange.getResponseHeaders().put(RelayRequest.NO_ANSWER, Boolean.TRUE.toString());
        exchange.setStatusCode(StatusCodes.BAD_GATEWAY).endExchange();
    }

    private void onChannelClosed() {
        tryGiveUp();
    }

    /** Ends the call, unless that was done before; the body is needed for what is recorded of it. */
    private boolean tryGiveUp() {
        if (ended) {
            return false;
        }
        backendCall.cancel();
        if (backendCall.isSentDirectly() && !answerEnded) {
            observer.onUnresolved(AttemptEnd.CANCELLED);
        }
        return tryEnd();
    }

    @Override
    public void checkCaller() {
        if (ended) {
            return;
        }
        try {
            disconnectDetector.checkConnected();
        } catch (IOException e) {
            closeConnection();
        }
    }

    /** The entry that sends the request decides; it gives up the connection. */
    @Override
    public void checkQuarantine() {
        // Nothing to do here.
    }

    /** The entry that sends the request withdraws it where it has no server yet. */
    @Override
    public void checkAdmission() {
        // Nothing to do here.
    }

    /** An answer that its server has ended is left to the entry that reads it. */
    @Override
    public void abort() {
        if (answer == null || !answerEnded) {
            end();
        }
    }

    /** States whether the request may have run, unless part of the answer was passed back. */
    private void end() {
        if (answer != null) {
            closeConnection();
        } else if (tryGiveUp()) {
            if (backendCall.isSentDirectly()) {
                sendNoAnswer();
            } else {
                RelayHandler.refuse(exchange, RelayRefusal.NO_PATH);
            }
        }
    }

    private void closeConnection() {
        if (tryGiveUp()) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private boolean tryEnd() {
        if (ended) {
            return false;
        }
        ended = true;
        memory.close();
        onEnd.accept(this);
        return true;
    }
}
