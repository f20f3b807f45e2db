package org.elmline.wire.tcp;

import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Splitting of a connection's bytes into frames. */
class FrameChannelTest {
    private static final int MAX_FRAME = 50_000;

    private final BlockingQueue<byte[]> frames = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> closed = new LinkedBlockingQueue<>();

    private Consumer<byte[]> onFrame = frames::add;
    private Consumer<FrameChannel> onStart = channel -> {};

    private interface Sender {
        void send(OutputStream out) throws Exception;
    }

    private void receive(Sender sender) throws Exception {
        try (AsynchronousServerSocketChannel server =
                        AsynchronousServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
                Socket socket = new Socket("127.0.0.1", ((InetSocketAddress) server.getLocalAddress()).getPort());
                AsynchronousSocketChannel accepted = server.accept().get(20, TimeUnit.SECONDS)) {
            socket.setTcpNoDelay(true);
            PeerLimits limits = new PeerLimits(MAX_FRAME, 2 * MAX_FRAME, 10, 10, 10);
            FrameChannel channel = new FrameChannel(
                    accepted, limits, limits::maxFrameBytes, each -> onFrame.accept(each), closed::add);
            onStart.accept(channel);
            channel.start();
            sender.send(socket.getOutputStream());
        }
    }

    /** Guards against frames that are lost, merged or truncated when they arrive in parts or several at a time. */
    @Test
    void deliversWholeFramesForAnySplitOfTheBytes() throws Exception {
        Random random = new Random(9);
        byte[][] sent = new byte[120][];
        int total = 0;
        for (int i = 0; i < sent.length; i++) {
            sent[i] = new byte[1 + random.nextInt(i % 10 == 0 ? MAX_FRAME : 600)];
            random.nextBytes(sent[i]);
            total += sent[i].length + Integer.BYTES;
        }
        ByteBuffer all = ByteBuffer.allocate(total);
        for (byte[] each : sent) {
            all.putInt(each.length).put(each);
        }
        receive(out -> {
            for (int from = 0; from < all.capacity(); ) {
                int to = Math.min(all.capacity(), from + 1 + random.nextInt(20_000));
                out.write(Arrays.copyOfRange(all.array(), from, to));
                from = to;
            }
            for (byte[] each : sent) {
                byte[] received = frames.poll(20, TimeUnit.SECONDS);
                assertNotNull(received);
                assertArrayEquals(each, received);
            }
        });
    }

    /** Guards against the delivery of messages that arrived together with one for which the connection was closed. */
    @Test
    void deliversNoFrameAfterClose() throws Exception {
        BlockingQueue<FrameChannel> channel = new LinkedBlockingQueue<>();
        onFrame = frame -> {
            frames.add(frame);
            channel.peek().close("rejected by the test");
        };
        onStart = channel::add;
        receive(out -> {
            out.write(new byte[] {0, 0, 0, 1, 7, 0, 0, 0, 1, 8});
            assertNotNull(closed.poll(20, TimeUnit.SECONDS));
            assertArrayEquals(new byte[] {7}, frames.poll());
            assertNull(frames.poll(200, TimeUnit.MILLISECONDS));
        });
    }

    @Test
    void closesOnFrameOverTheLimit() throws Exception {
        receive(out -> {
            out.write(ByteBuffer.allocate(4).putInt(MAX_FRAME + 1).array());
            assertTrue(closed.poll(20, TimeUnit.SECONDS).contains("50001 bytes"));
        });
    }
}
