package org.elmline.daemon.http;

import java.io.ByteArrayOutputStream;
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
    private final Consumer<byte[]> onBody;
    private final Consumer<IOException> onFailure;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private StreamSourceChannel source;

    private IoThreadBodyReader(HttpServerExchange exchange, Consumer<byte[]> onBody, Consumer<IOException> onFailure) {
        this.exchange = exchange;
        this.onBody = onBody;
        this.onFailure = onFailure;
    }

    /**
     * Starts reading.
     *
     * @param onFailure receives a {@link io.undertow.server.RequestTooBigException} when the body is over the limit
     */
    public static void read(HttpServerExchange exchange, Consumer<byte[]> onBody, Consumer<IOException> onFailure) {
        new IoThreadBodyReader(exchange, onBody, onFailure).start();
    }

    private void start() {
        source = exchange.getRequestChannel();
        if (source == null) {
            onBody.accept(body.toByteArray());
            return;
        }
        source.getReadSetter().set((ChannelListener<StreamSourceChannel>) each -> readAvailable());
        readAvailable();
    }

    private void readAvailable() {
        try (PooledByteBuffer pooled =
                exchange.getConnection().getByteBufferPool().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            int count = source.read(buffer);
            while (count > 0) {
                buffer.flip();
                byte[] copy = new byte[buffer.remaining()];
                buffer.get(copy);
                body.writeBytes(copy);
                buffer.clear();
                count = source.read(buffer);
            }
            if (count == 0) {
                source.resumeReads();
                return;
            }
        } catch (IOException e) {
            onFailure.accept(e);
            return;
        }
        source.suspendReads();
        onBody.accept(body.toByteArray());
    }
}
