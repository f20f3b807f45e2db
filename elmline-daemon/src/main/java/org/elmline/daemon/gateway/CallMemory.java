package org.elmline.daemon.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.elmline.core.memory.MemoryAccount;
import org.elmline.core.memory.MemoryHolder;
import org.elmline.core.memory.MemoryShare;
import org.elmline.daemon.http.ByteChunks;
import org.xnio.IoUtils;
import org.xnio.Options;

/**
 * What one request and its answer hold in memory: the body, an answer that is buffered until it is complete, and bytes
 * that the caller's socket has not accepted. Used on the I/O thread only.
 */
final class CallMemory implements MemoryHolder {
    /** Bytes that wait for a slow caller before reading from the server is suspended. */
    private static final int MAX_UNREAD_BYTES = 64 * 1024;

    /** The same while the account is pressed: nothing more is read before the caller has accepted all. */
    private static final int MAX_UNREAD_BYTES_PRESSED = 1;

    /** Length up to which a buffered answer is read on while the account is pressed, so that short answers stay fast. */
    private static final int SHORT_ANSWER_BYTES = 64 * 1024;

    /**
     * Send buffer of a caller's socket. The system would let it grow to megabytes, which this account does not count, and
     * report room in steps of a third of that, so that a caller that reads slowly would seem to read nothing.
     */
    private static final int SEND_BUFFER_BYTES = 64 * 1024;

    private final MemoryGuard guard;
    private final MemoryAccount account;
    private final HttpServerExchange exchange;
    private final String requestId;
    private final MemoryShare share;
    private final ByteChunks body = new ByteChunks();
    private ByteChunks answer = new ByteChunks();
    private ByteChunks serverError = new ByteChunks();
    private CallerChannel channel;
    private Runnable onEnded = this::closeConnection;
    private long declaredAnswerBytes;
    private int partialEventBytes;
    private boolean readPaused;
    private boolean wasPaused;
    private boolean hasTurn;
    private boolean sending;
    private boolean inCall;
    private boolean closed;

    CallMemory(MemoryGuard guard, HttpServerExchange exchange, String requestId) {
        this.guard = guard;
        this.account = guard.account();
        this.exchange = exchange;
        this.requestId = requestId;
        this.share = account.open(this, guard.now());
    }

    HttpServerExchange exchange() {
        return exchange;
    }

    /** What ends the request when its caller is idle and its memory is needed. */
    void onEnded(Runnable end) {
        onEnded = end;
    }

    /** The same for a call, whose memory is kept until {@link #endCall}, whatever becomes of its caller. */
    void beginCall(Runnable end) {
        onEnded = end;
        inCall = true;
    }

    String requestId() {
        return requestId;
    }

    ByteChunks body() {
        return body;
    }

    boolean admitsBody(long bytes) {
        return account.admitsBody(bytes);
    }

    /** Takes bytes of the body; returns false, and takes none, when there is no room. */
    boolean tryAddToBody(ByteBuffer bytes) {
        if (!account.admitsBody(body.growth(bytes.remaining()))) {
            return false;
        }
        body.append(bytes);
        share.update();
        return true;
    }

    /** Starts the idle time of a caller that is to send its body. */
    void waitForBody() {
        share.waitForCaller(guard.now());
        share.recordProgress(guard.now());
    }

    void stopWaitingForBody() {
        share.stopWaiting();
    }

    /** Starts a buffered answer; an earlier one is dropped unless it was kept. */
    ByteChunks newAnswer() {
        forgetPausedRead();
        dropAnswer();
        return answer;
    }

    /** Sets the length that the head of a buffered answer declares, negative if it declares none. */
    void expectAnswer(long length) {
        declaredAnswerBytes = length;
    }

    /** An answer of unknown length counts as short for its first read only, as any large one begins in the same way. */
    private boolean isShortAnswer() {
        return declaredAnswerBytes < 0 ? answer.length() == 0 : declaredAnswerBytes <= SHORT_ANSWER_BYTES;
    }

    /** Takes bytes of a buffered answer that {@link #newAnswer} gave. */
    void addToAnswer(ByteChunks target, ByteBuffer bytes) {
        target.append(bytes);
        share.update();
    }

    /** Keeps the buffered answer, a server's error, while the call is sent to another server. */
    void keepServerError() {
        guard.removeLargeAnswer(this);
        serverError = answer;
        answer = new ByteChunks();
        share.update();
    }

    /** Releases the buffered answer of an attempt that has failed, unless another attempt buffers its own. */
    void dropAnswer(ByteChunks dropped) {
        if (dropped == answer) {
            dropAnswer();
        }
    }

    private void dropAnswer() {
        guard.removeLargeAnswer(this);
        answer = new ByteChunks();
        share.update();
    }

    /** Whether more of a buffered answer may be read; if not, {@code resume} is called once when there is room. */
    boolean admitsAnswerRead(Runnable resume) {
        if (isShortAnswer()) {
            return pauseUnless(account.admitsShort(MemoryGuard.READ_BYTES), resume);
        }
        guard.addLargeAnswer(this);
        boolean next = hasTurn || guard.isFirstLargeAnswer(this);
        hasTurn = false;
        boolean admitted = !account.isPressed() || next && account.admitsAnswer(MemoryGuard.READ_BYTES);
        return pauseUnless(admitted, resume);
    }

    /** Whether more of a stream may be read; if not, {@code resume} is called once when there is room. */
    boolean admitsStreamRead(Runnable resume) {
        return pauseUnless(account.admitsShort(MemoryGuard.READ_BYTES), resume);
    }

    private boolean pauseUnless(boolean admitted, Runnable resume) {
        if (!admitted && !readPaused) {
            readPaused = true;
            if (!wasPaused) {
                wasPaused = true;
                guard.countPaused();
            }
            guard.addPaused(this, resume);
        }
        return admitted;
    }

    /** Removes the paused read of an attempt that has ended; the next attempt is paused by itself. */
    private void forgetPausedRead() {
        if (readPaused) {
            readPaused = false;
            guard.removePaused(this);
        }
    }

    /** Called before a paused read is resumed; {@code inTurn} if it is for one buffer only. */
    void resumed(boolean inTurn) {
        readPaused = false;
        hasTurn = inTurn;
    }

    /** Registers the channel to the caller, whose pending bytes are held. */
    void writesTo(CallerChannel callerChannel) {
        channel = callerChannel;
        if (account.isBounded()) {
            limitSendBuffer();
        }
    }

    private void limitSendBuffer() {
        try {
            exchange.getConnection().setOption(Options.SEND_BUFFER, SEND_BUFFER_BYTES);
        } catch (IOException e) {
            // The connection is closed, which its next write reports.
        }
    }

    /** Bytes of a stream's event that is not complete yet. */
    void setPartialEvent(int bytes) {
        if (bytes != partialEventBytes) {
            partialEventBytes = bytes;
            share.update();
        }
    }

    /** Whether that many bytes may wait for the caller while more are read. */
    boolean mayReadAhead(int unreadBytes) {
        return unreadBytes < (account.isPressed() ? MAX_UNREAD_BYTES_PRESSED : MAX_UNREAD_BYTES);
    }

    /** To be called after each change of the bytes that wait for the caller. */
    void onUnreadChanged(boolean accepted) {
        share.update();
        if (channel.pendingBytes() == 0) {
            share.stopWaiting();
            return;
        }
        share.waitForCaller(guard.now());
        if (accepted) {
            share.recordProgress(guard.now());
        }
    }

    /**
     * Sends a whole answer, of which nothing is kept, and releases everything when it is sent.
     *
     * @param onStart run before the first byte is sent
     */
    void send(ByteChunks whole, Runnable onStart) {
        sending = true;
        onStart.run();
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, whole.length());
        if (whole.length() == 0) {
            exchange.endExchange();
            close();
            return;
        }
        guard.removeLargeAnswer(this);
        body.clear();
        CallerChannel caller = new CallerChannel(exchange, this, () -> {}, this::close);
        onEnded = caller::abort;
        caller.sendAll(whole.takeBuffers());
    }

    @Override
    public boolean isOpen() {
        // The body of a call that is still placed must stay: without it, an empty request would be sent.
        return inCall || !exchange.isComplete() && exchange.getConnection().isOpen();
    }

    @Override
    public long bodyBytes() {
        return body.capacity();
    }

    @Override
    public long answerBytes() {
        return answer.capacity()
                + serverError.capacity()
                + partialEventBytes
                + (channel == null ? 0 : channel.pendingBytes());
    }

    @Override
    public void end(MemoryShare ended) {
        onEnded.run();
    }

    @Override
    public void release() {
        close();
    }

    private void closeConnection() {
        IoUtils.safeClose(exchange.getConnection());
    }

    /** Releases everything unless an answer is being sent, which still waits for the caller. */
    void endCall() {
        inCall = false;
        if (!sending) {
            close();
        }
    }

    /** Releases everything; further calls do nothing. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        share.close();
        forgetPausedRead();
        guard.removeLargeAnswer(this);
        body.clear();
        answer = new ByteChunks();
        serverError = new ByteChunks();
    }
}
