package org.elmline.daemon.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
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
    private final ByteBuffer body;
    private final boolean nonRepeatable;
    private final BackendCallListener listener;
    private ClientConnection connection;
    private StreamSourceChannel responseChannel;
    private AnswerHead head;
    private long serverBornMillis;
    private boolean bodySent;
    private boolean paused;
    private boolean ended;

    /** @param nonRepeatable whether the call must not be sent again once it may have run */
    BackendCall(
            BackendAccess access,
            BackendTarget target,
            RequestPurpose purpose,
            ClientRequest request,
            byte[] body,
            boolean nonRepeatable,
            BackendCallListener listener) {
        this.access = access;
        this.target = target;
        this.purpose = purpose;
        this.request = request;
        this.body = ByteBuffer.wrap(body);
        this.nonRepeatable = nonRepeatable;
        this.listener = listener;
    }

    /** Creates the request line and headers of a call. */
    static ClientRequest newRequest(HttpString method, String pathAndQuery, HeaderMap headers) {
        ClientRequest request =
                new ClientRequest().setMethod(method).setPath(pathAndQuery).setProtocol(Protocols.HTTP_1_1);
        headers.forEach(each -> request.getRequestHeaders().addAll(each.getHeaderName(), each));
        return request;
    }

    void start() {
        if (!access.gate().tryPass(target.server(), purpose)) {
            withhold();
            return;
        }
        access.connections().acquire(target.address(), nonRepeatable, new BackendConnectionPool.AcquireCallback() {
            @Override
            public void onAcquired(ClientConnection acquired) {
                if (ended) {
                    access.connections().release(target.address(), acquired, -1);
                } else if (!access.gate().stillAllows(target.server(), purpose)) {
                    // Another answer of the server arrived while the connection was opened.
                    access.connections().release(target.address(), acquired, -1);
                    withhold();
                } else {
                    connection = acquired;
                    send();
                }
            }

            @Override
            public void onFailed(String why) {
                if (tryEnd()) {
                    listener.onNotSent(why);
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
        if (tryEnd() && connection != null) {
            BackendConnectionPool.closeNow(connection);
        }
    }

    private void send() {
        serverBornMillis = access.gate().bornMillis(target.server());
        connection.sendRequest(request, new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                exchange.setResponseListener(responseCallback());
                writeBody(exchange);
            }

            @Override
            public void failed(IOException e) {
                fail(e);
            }
        });
    }

    private void writeBody(ClientExchange exchange) {
        if (!body.hasRemaining()) {
            bodySent = true;
            return;
        }
        StreamSinkChannel sink = exchange.getRequestChannel();
        sink.getWriteSetter().set((ChannelListener<StreamSinkChannel>) this::write);
        write(sink);
    }

    private void write(StreamSinkChannel sink) {
        try {
            while (body.hasRemaining()) {
                if (sink.write(body) == 0) {
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
            bodySent = true;
        } catch (IOException e) {
            fail(e);
        }
    }

    private void flush(StreamSinkChannel sink) {
        try {
            if (sink.flush()) {
                sink.suspendWrites();
                bodySent = true;
            }
        } catch (IOException e) {
            fail(e);
        }
    }

    private ClientCallback<ClientExchange> responseCallback() {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                if (ended) {
                    return;
                }
                int status = exchange.getResponse().getResponseCode();
                HeaderMap headers = exchange.getResponse().getResponseHeaders();
                head = access.protocol().read(status, headers);
                access.gate().onAnswer(target.server(), serverBornMillis, head);
                responseChannel = exchange.getResponseChannel();
                responseChannel.getReadSetter().set((ChannelListener<StreamSourceChannel>) each -> read());
                listener.onHead(status, headers, head);
                read();
            }

            @Override
            public void failed(IOException e) {
                fail(e);
            }
        };
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
        if (ended || paused || responseChannel == null) {
            return;
        }
        try (PooledByteBuffer pooled = connection.getBufferPool().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!ended && !paused) {
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
                buffer.flip();
                listener.onData(buffer);
            }
        } catch (IOException e) {
            fail(e);
        }
    }

    private void complete() {
        if (!tryEnd()) {
            return;
        }
        if (!bodySent || head.closesConnection()) {
            // A server that answered before it read the whole body may still wait for the rest of it, so the connection
            // cannot be reused.
            BackendConnectionPool.closeNow(connection);
        } else {
            access.connections().release(target.address(), connection, head.keepAliveSeconds());
        }
        listener.onComplete();
    }

    private void fail(IOException e) {
        if (tryEnd()) {
            BackendConnectionPool.closeNow(connection);
            listener.onBroken(e.getMessage() == null ? e.toString() : e.getMessage());
        }
    }

    private boolean tryEnd() {
        if (ended) {
            return false;
        }
        ended = true;
        return true;
    }
}
