package org.elmline.daemon.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.Protocols;
import io.undertow.util.StatusCodes;
import org.elmline.core.common.HostId;
import org.elmline.daemon.http.ByteChunks;
import org.elmline.daemon.log.LogLine;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One call to a backend server over HTTP/1.1. It is sent once and never retried here; its connection is reused only
 * after a complete answer. Used on the I/O thread only.
 */
final class BackendCall {
    private final BackendAccess access;
    private final BackendTarget target;
    private final RequestPurpose purpose;
    private final ClientRequest request;
    private final ByteChunks body;
    private final boolean nonRepeatable;
    private final BackendCallListener listener;
    private LinkSearch search;
    private ServerLink link;
    private StreamSourceChannel responseChannel;
    private AnswerHead head;
    private long serverBornMillis;
    private boolean endsWithConnection;
    private boolean needsContent;
    private boolean hasContent;
    private List<ByteBuffer> unsent = List.of();
    private int unsentIndex;
    private long unansweredBytes;
    private boolean bodySent;
    private boolean endedBeforeBody;
    private boolean connectionReused;
    private boolean refusal;
    private boolean paused;
    private boolean held;
    private boolean ended;

    /** @param nonRepeatable whether the call must not be sent again once it may have run */
    BackendCall(
            BackendAccess access,
            BackendTarget target,
            RequestPurpose purpose,
            ClientRequest request,
            ByteChunks body,
            boolean nonRepeatable,
            BackendCallListener listener) {
        this.access = access;
        this.target = target;
        this.purpose = purpose;
        this.request = request;
        this.body = body;
        this.nonRepeatable = nonRepeatable;
        this.listener = listener;
    }

    /** Path and query of a received request, as they were sent. */
    static String pathAndQuery(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        return exchange.getRequestURI() + (query == null || query.isEmpty() ? "" : "?" + query);
    }

    /** Creates the request line and headers of a call. */
    static ClientRequest newRequest(HttpString method, String pathAndQuery, HeaderMap headers) {
        ClientRequest request =
                new ClientRequest().setMethod(method).setPath(pathAndQuery).setProtocol(Protocols.HTTP_1_1);
        headers.forEach(each -> request.getRequestHeaders().addAll(each.getHeaderName(), each));
        return request;
    }

    void start() {
        if (ended) {
            return;
        }
        held = access.gate().holds(purpose);
        if (held) {
            access.gate().whenReleased(this::start);
            return;
        }
        if (!access.gate().tryPass(target.server(), purpose)) {
            withhold();
            return;
        }
        search = access.links().newSearch(target, nonRepeatable);
        searchLink();
    }

    private void searchLink() {
        search.next(new LinkSearch.Listener() {
            @Override
            public void onLink(ServerLink found) {
                if (ended) {
                    access.links().release(found, -1);
                } else if (access.gate().holds(purpose)) {
                    // This process was suspended while the connection was opened.
                    access.links().release(found, -1);
                    start();
                } else if (!access.gate().stillAllows(target.server(), purpose)) {
                    // Another answer of the server arrived while the connection was opened.
                    access.links().release(found, -1);
                    withhold();
                } else {
                    link = found;
                    send();
                }
            }

            @Override
            public void onNoLink(String why, boolean serverDown) {
                if (!tryEnd()) {
                    return;
                }
                if (serverDown) {
                    listener.onNotSent(why);
                } else {
                    listener.onWithheld("no path to the server: " + why);
                }
            }
        });
    }

    private void withhold() {
        if (tryEnd()) {
            listener.onWithheld("the server accepts no requests now");
        }
    }

    /**
     * Ends the call at once and closes its connection, so that the server stops working on it. The listener is not
     * called any more.
     */
    void cancel() {
        if (tryEnd() && link != null) {
            BackendConnectionPool.reset(link.connection());
        }
    }

    /** Records that no answer has come in time, for which the entry that forwards the call may be the cause. */
    void recordSilence() {
        if (isRelayed() && head == null) {
            search.onRelayFailed(link);
        }
    }

    /** Whether the call waits because this entry has just resumed; no byte of it has been sent then. */
    boolean isHeld() {
        return held;
    }

    /** Whether another entry forwards the call, so that a missing answer does not show that the server has failed. */
    boolean isRelayed() {
        return link != null && link.isRelayed();
    }

    /** Whether this entry has begun to send the call to the server itself. */
    boolean isSentDirectly() {
        return link != null && !link.isRelayed();
    }

    /** Whether this entry has sent the call to the server itself, on a connection that carried another request before. */
    boolean isConnectionReused() {
        return connectionReused;
    }

    /** Adds to a log line what shows whether a refusal is one of this call. */
    LogLine addRefusalTo(LogLine line) {
        if (!refusal) {
            return line;
        }
        return line.with("refusalHasId", head.requestId() != null).with("connectionReused", connectionReused);
    }

    /** The entry that forwards the call; null when it is sent to the server itself, or not yet. */
    HostId relay() {
        return link == null ? null : link.relay();
    }

    private void send() {
        serverBornMillis = access.gate().bornMillis(target.server());
        unsent = body.buffers();
        unsentIndex = 0;
        countUnanswered(body.length());
        bodySent = false;
        ServerLink used = link;
        boolean usedBefore = used.guards().recordRequest(request.getMethod().toString());
        // The entry that forwards a request checks the answers of its own connection to the server.
        connectionReused = usedBefore && !used.isRelayed();
        used.connection().sendRequest(requestOn(used), new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                exchange.setResponseListener(responseCallback(used));
                writeBody(exchange);
            }

            @Override
            public void failed(IOException e) {
                fail(used, e);
            }
        });
    }

    private ClientRequest requestOn(ServerLink chosen) {
        if (!chosen.isRelayed()) {
            return request;
        }
        ClientRequest relayed = newRequest(request.getMethod(), request.getPath(), request.getRequestHeaders());
        new RelayRequest(target, purpose, nonRepeatable)
                .writeTo(relayed.getRequestHeaders(), relayed.getPath(), access.peerKey());
        return relayed;
    }

    private void writeBody(ClientExchange exchange) {
        if (!hasUnsent()) {
            bodySent = true;
            return;
        }
        StreamSinkChannel sink = exchange.getRequestChannel();
        sink.getWriteSetter().set((ChannelListener<StreamSinkChannel>) this::write);
        write(sink);
    }

    /** Skips the buffers that are sent. Returns whether another one is left. */
    private boolean hasUnsent() {
        while (unsentIndex < unsent.size() && !unsent.get(unsentIndex).hasRemaining()) {
            unsentIndex++;
        }
        return unsentIndex < unsent.size();
    }

    /** Counts the bytes of the request at its server, in place of those counted before. */
    private void countUnanswered(long bytes) {
        access.unanswered().add(target.server(), bytes - unansweredBytes);
        unansweredBytes = bytes;
    }

    private void write(StreamSinkChannel sink) {
        if (ended) {
            return;
        }
        try {
            while (hasUnsent()) {
                if (sink.write(unsent.get(unsentIndex)) == 0) {
                    sink.resumeWrites();
                    return;
                }
            }
            sink.shutdownWrites();
            if (!sink.flush()) {
                sink.getWriteSetter().set((ChannelListener<StreamSinkChannel>) this::flush);
                sink.resumeWrites();
                return;
            }
            sink.suspendWrites();
            onBodySent();
        } catch (IOException e) {
            fail(link, e);
        }
    }

    private void flush(StreamSinkChannel sink) {
        try {
            if (sink.flush()) {
                sink.suspendWrites();
                onBodySent();
            }
        } catch (IOException e) {
            fail(link, e);
        }
    }

    private void onBodySent() {
        bodySent = true;
        if (endedBeforeBody && !ended) {
            complete();
        }
    }

    private ClientCallback<ClientExchange> responseCallback(ServerLink used) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                if (ended || used != link) {
                    return;
                }
                used.guards().bytes().reset();
                int status = exchange.getResponse().getResponseCode();
                HeaderMap headers = exchange.getResponse().getResponseHeaders();
                if (isRelayed() && headers.contains(RelayRequest.REFUSAL)) {
                    onRelayRefused(headers.getFirst(RelayRequest.REFUSAL));
                    return;
                }
                if (isRelayed() && headers.contains(RelayRequest.NO_ANSWER)) {
                    onNoAnswer();
                    return;
                }
                if (status < StatusCodes.OK) {
                    // The HTTP client skips 100 only, and takes any other interim answer for the end of the exchange.
                    fail(used, new IOException("interim answer " + status));
                    return;
                }
                head = access.protocol().read(status, headers);
                refusal = head.isRefusal(status);
                countUnanswered(0);
                access.gate().onAnswer(target.server(), serverBornMillis, head);
                endsWithConnection = endsOnlyWithConnection(headers) && mayHaveBody(status);
                needsContent = endsWithConnection && AnswerHead.isSuccess(status);
                if (status == StatusCodes.NOT_MODIFIED) {
                    // It may state the length of the body that it leaves out, which the HTTP client would wait for.
                    listener.onHead(status, headers, head);
                    complete();
                    return;
                }
                responseChannel = exchange.getResponseChannel();
                responseChannel.getReadSetter().set((ChannelListener<StreamSourceChannel>) each -> read());
                listener.onHead(status, headers, head);
                read();
            }

            @Override
            public void failed(IOException e) {
                fail(used, e);
            }
        };
    }

    private static boolean endsOnlyWithConnection(HeaderMap headers) {
        return !headers.contains(Headers.CONTENT_LENGTH) && !headers.contains(Headers.TRANSFER_ENCODING);
    }

    private boolean mayHaveBody(int status) {
        return status != StatusCodes.NO_CONTENT
                && status != StatusCodes.NOT_MODIFIED
                && !request.getMethod().equals(Methods.HEAD);
    }

    /** Searches the next link: the entry states that it did not forward the request. */
    private void onRelayRefused(String refusal) {
        ServerLink refusing = link;
        link = null;
        BackendConnectionPool.closeNow(refusing.connection());
        search.onRefused(refusing, RelayRefusal.of(refusal));
        searchLink();
    }

    /** The entry that forwards the request states that the server gave no answer. */
    private void onNoAnswer() {
        if (tryEnd()) {
            BackendConnectionPool.closeNow(link.connection());
            listener.onBroken("the server gave the forwarding entry no answer");
        }
    }

    /** Whether reading is suspended. */
    boolean isPaused() {
        return paused;
    }

    /** Suspends reading while the caller reads more slowly than the server sends. */
    void pause() {
        paused = true;
        if (responseChannel != null && !ended) {
            responseChannel.suspendReads();
        }
    }

    void resume() {
        if (paused) {
            paused = false;
            read();
        }
    }

    private void read() {
        if (ended || paused || endedBeforeBody || responseChannel == null) {
            return;
        }
        try (PooledByteBuffer pooled = link.connection().getBufferPool().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!ended && !paused) {
                if (!listener.admitsRead()) {
                    pause();
                    return;
                }
                buffer.clear();
                int count = responseChannel.read(buffer);
                if (count == 0) {
                    responseChannel.resumeReads();
                    return;
                }
                if (count < 0) {
                    complete();
                    return;
                }
                link.guards().bytes().reset();
                buffer.flip();
                hasContent = true;
                listener.onData(buffer);
            }
        } catch (IOException e) {
            fail(link, e);
        }
    }

    private void complete() {
        if (endsWithConnection && !bodySent) {
            // A server that closed a connection with unread bytes has reset it: sending the rest shows whether it did.
            endedBeforeBody = true;
            return;
        }
        if (needsContent && !hasContent) {
            // A server that ends right after the head of an answer without a length leaves the same bytes.
            fail(link, new IOException("the connection ended right after the head"));
            return;
        }
        if (!tryEnd()) {
            return;
        }
        if (!bodySent || head.closesConnection() || responseChannel == null) {
            // The server may still wait for the rest of the body, or the HTTP client for that of the answer.
            BackendConnectionPool.closeNow(link.connection());
        } else {
            access.links().release(link, head.keepAliveSeconds());
        }
        listener.onComplete();
    }

    /** Handles a failure of the link in use; one that an entry refused to forward on was closed before. */
    private void fail(ServerLink used, IOException e) {
        if (used == link && tryEnd()) {
            if (isRelayed() && head == null) {
                search.onRelayFailed(link);
            }
            BackendConnectionPool.reset(link.connection());
            listener.onBroken(e.getMessage() == null ? e.toString() : e.getMessage());
        }
    }

    private boolean tryEnd() {
        if (ended) {
            return false;
        }
        ended = true;
        // A pooled connection keeps its last call.
        unsent = List.of();
        countUnanswered(0);
        return true;
    }
}
