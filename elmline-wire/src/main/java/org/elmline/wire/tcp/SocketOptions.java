package org.elmline.wire.tcp;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousSocketChannel;

/** Options of every peer connection: small frames are sent without delay, and the kernel too detects a dead peer. */
final class SocketOptions {
    private SocketOptions() {}

    static void apply(AsynchronousSocketChannel socket) {
        try {
            socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
            socket.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
        } catch (IOException e) {
            // The connection works without them.
        }
    }
}
