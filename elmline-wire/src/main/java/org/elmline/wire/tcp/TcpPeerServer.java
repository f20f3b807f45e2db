package org.elmline.wire.tcp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.elmline.core.common.Address;
import org.elmline.core.timeline.HybridClock;

/** Accepts connections of other elmline processes and answers their calls. */
public final class TcpPeerServer implements AutoCloseable {
    private static final int ACCEPT_BACKLOG_CONNECTIONS = 1_024;

    private final AsynchronousServerSocketChannel server;
    private final PeerHandlers handlers;
    private final PeerKey key;
    private final PeerLimits limits;
    private final ScheduledExecutorService timer;
    private final HybridClock hybridClock;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private final Set<Connection> unproved = new LinkedHashSet<>();
    private volatile boolean closed;

    private TcpPeerServer(
            AsynchronousServerSocketChannel server,
            PeerHandlers handlers,
            PeerKey key,
            PeerLimits limits,
            ScheduledExecutorService timer,
            HybridClock hybridClock) {
        this.server = server;
        this.handlers = handlers;
        this.key = key;
        this.limits = limits;
        this.timer = timer;
        this.hybridClock = hybridClock;
    }

    /** Binds the address and starts to accept connections; port 0 selects a free port, see {@link #port()}. */
    public static TcpPeerServer start(
            InetSocketAddress bind,
            PeerHandlers handlers,
            PeerKey key,
            PeerLimits limits,
            AsynchronousChannelGroup group,
            ScheduledExecutorService timer,
            HybridClock hybridClock)
            throws IOException {
        AsynchronousServerSocketChannel socket = AsynchronousServerSocketChannel.open(group);
        try {
            socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            socket.bind(bind, ACCEPT_BACKLOG_CONNECTIONS);
        } catch (IOException e) {
            socket.close();
            throw new IOException("can't listen on " + bind + ": " + e.getMessage(), e);
        }
        TcpPeerServer server = new TcpPeerServer(socket, handlers, key, limits, timer, hybridClock);
        server.accept();
        return server;
    }

    public int port() {
        try {
            return ((InetSocketAddress) server.getLocalAddress()).getPort();
        } catch (IOException e) {
            throw new IllegalStateException("the listening socket is closed", e);
        }
    }

    /** This server's address under the given IP. */
    public Address address(String ip) {
        return new Address(ip, port());
    }

    int connections() {
        return connections.size();
    }

    @Override
    public void close() {
        closed = true;
        try {
            server.close();
        } catch (IOException e) {
            // No further connection is accepted either way.
        }
        connections.forEach(each -> each.close("stopping"));
    }

    private void accept() {
        if (closed) {
            return;
        }
        server.accept(null, new CompletionHandler<AsynchronousSocketChannel, Void>() {
            @Override
            public void completed(AsynchronousSocketChannel socket, Void attachment) {
                serve(socket);
                accept();
            }

            @Override
            public void failed(Throwable e, Void attachment) {
                if (!closed) {
                    // Most likely no file descriptor is free; retries after a short delay.
                    timer.schedule(TcpPeerServer.this::accept, ACCEPT_RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
                }
            }
        });
    }

    private static final Duration ACCEPT_RETRY_DELAY = Duration.ofMillis(100);
    private static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(5);

    private void serve(AsynchronousSocketChannel socket) {
        closeOldestUnproved();
        if (connections.size() >= limits.maxConnections() || closed) {
            closeQuietly(socket);
            return;
        }
        SocketOptions.apply(socket);
        Connection connection = new Connection(
                socket,
                key,
                Handshake.Side.SERVER,
                handlers,
                limits,
                hybridClock,
                System::nanoTime,
                connections::remove);
        connections.add(connection);
        synchronized (unproved) {
            unproved.add(connection);
        }
        // A peer that connects and sends nothing would otherwise occupy one of the limited connections for ever.
        ScheduledFuture<?> timeout = timer.schedule(
                () -> connection.close("handshake timed out"), HANDSHAKE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        connection.ready().thenAccept(proved -> {
            timeout.cancel(false);
            synchronized (unproved) {
                unproved.remove(connection);
            }
        });
        connection.start();
    }

    /** Keeps room for peers beside connections that prove nothing. */
    private void closeOldestUnproved() {
        Connection oldest;
        synchronized (unproved) {
            oldest = unproved.size() < limits.maxUnproved()
                    ? null
                    : unproved.iterator().next();
        }
        if (oldest != null) {
            oldest.close("others connect");
        }
    }

    private static void closeQuietly(AsynchronousSocketChannel socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The connection is rejected either way.
        }
    }
}
