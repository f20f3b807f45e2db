package org.elmline.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSourceChannel;

/** Reads a request's body to its end on the I/O thread without blocking it; the exchange must be dispatched. */
public final class IoThreadBodyReader {
    private final HttpServerExchange exchange;
    private final Receiver receiver;
    private StreamSourceChannel source;
    private boolean stopped;

    /** Receives a body as it arrives. */
    public interface Receiver {
        /** Takes bytes of the body. Returns whether more are to be read; if not, nothing else is called. */
        boolean onBytes(ByteBuffer bytes);

        /** The body is complete. */
        void onEnd();

        /** The body cannot be read; a {@link io.undertow.server.RequestTooBigException} if it is over the limit. */
        void onFailure(IOException failure);
    }

    private IoThreadBodyReader(HttpServerExchange exchange, Receiver receiver) {
        this.exchange = exchange;
        this.receiver = receiver;
    }

    /**
     * Starts reading.
     *
     * @param onFailure receives a {@link io.undertow.server.RequestTooBigException} when the body is over the limit
     */
    public static void read(HttpServerExchange exchange, Consumer<byte[]> onBody, Consumer<IOException> onFailure) {
        ByteChunks body = new ByteChunks();
        read(exchange, new Receiver() {
            @Override
            public boolean onBytes(ByteBuffer bytes) {
                body.append(bytes);
                return true;
            }

            @Override
            public void onEnd() {
                onBody.accept(body.toByteArray());
            }

            @Override
            public void onFailure(IOException failure) {
                onFailure.accept(failure);
            }
        });
    }

    /** Starts reading; the receiver may be called before this returns. */
    public static IoThreadBodyReader read(HttpServerExchange exchange, Receiver receiver) {
        IoThreadBodyReader reader = new IoThreadBodyReader(exchange, receiver);
        reader.start();
        return reader;
    }

    /** Stops reading; the receiver is not called any more. */
    public void stop() {
        stopped = true;
        if (source != null) {
            source.suspendReads();
        }
    }

    private void start() {
        source = exchange.getRequestChannel();
        if (source == null) {
            receiver.onEnd();
            return;
        }
        source.getReadSetter().set((ChannelListener<StreamSourceChannel>) each -> readAvailable());
        readAvailable();
    }

    private void readAvailable() {
        if (stopped) {
            return;
        }
        try (PooledByteBuffer pooled =
                exchange.getConnection().getByteBufferPool().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            int count = source.read(buffer);
            while (count > 0) {
                buffer.flip();
                if (!receiver.onBytes(buffer)) {
                    return;
                }
                buffer.clear();
                count = source.read(buffer);
            }
            if (count == 0) {
                source.resumeReads();
                return;
            }
        } catch (IOException e) {
            receiver.onFailure(e);
            return;
        }
        source.suspendReads();
        receiver.onEnd();
    }
}
