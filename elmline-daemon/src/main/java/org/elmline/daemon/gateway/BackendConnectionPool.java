package org.elmline.daemon.gateway;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.connector.ByteBufferPool;
import org.elmline.core.common.Address;
import org.elmline.core.common.MonotonicClock;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Pool of connections to backend servers. Idle connections are kept for a part of the keep-alive time that
 * the server states, since a new connection costs the server work. Used on the I/O thread only.
 */
final class BackendConnectionPool {
    /**
     * Time-out of connecting: many round trips between failure domains. A server without power or network does not even
     * reject the connection, and a call that waits longer would miss its aim.
     */
    private static final long CONNECT_TIMEOUT_MILLIS = 250;

    /** Time beyond it in which the thread looks at its sockets once more. */
    private static final long LAST_LOOK_MILLIS = 5;

    /** Time for which an idle connection is used when its server states no keep-alive time. */
    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 2_500;

    /**
     * Part of the server's keep-alive time for which an idle connection is used: a request sent while the server closes
     * the connection would be lost.
     */
    private static final double KEEP_ALIVE_SHARE = 0.7;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long SWEEP_INTERVAL_MILLIS = 1_000;

    private final BackendDialer dialer;
    private final XnioIoThread thread;
    private final ConnectionOpener opener;
    private final ByteBufferPool buffers;
    private final MonotonicClock clock;
    private final Counter opened;
    private final Counter reused;
    private final Map<Address, Deque<IdleConnection>> idleConnections = new HashMap<>();

    private record IdleConnection(ClientConnection connection, long idleSinceNanos, long expiresAtNanos) {}

    /** Receives a connection, or the reason why there is none. */
    interface AcquireCallback {
        /** @param opened whether the connection is new */
        void onAcquired(ClientConnection connection, boolean opened);

        void onFailed(String why);

        /** The other side answered at once that it accepts no connection. */
        default void onRefused(String why) {
            onFailed(why);
        }
    }

    BackendConnectionPool(
            BackendDialer dialer,
            XnioIoThread thread,
            ByteBufferPool buffers,
            MonotonicClock clock,
            MetricRegistry metrics) {
        this.dialer = dialer;
        this.thread = thread;
        this.opener = new ConnectionOpener(thread);
        this.buffers = buffers;
        this.clock = clock;
        this.opened = metrics.counter("backend.connections.opened");
        this.reused = metrics.counter("backend.connections.reused");
        thread.executeAfter(this::evictExpired, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Takes an idle connection or opens one.
     *
     * @param nonRepeatable whether the call must not be sent again: an idle connection is then used in the first half
     *     of its time only, as a request lost with the connection could not be retried
     */
    void acquire(Address address, boolean nonRepeatable, AcquireCallback callback) {
        IdleConnection idle = pollIdle(address, nonRepeatable);
        if (idle != null) {
            reused.inc();
            callback.onAcquired(idle.connection(), false);
        } else {
            open(address, callback);
        }
    }

    private IdleConnection pollIdle(Address address, boolean nonRepeatable) {
        Deque<IdleConnection> idle = idleConnections.get(address);
        long now = clock.nanos();
        while (idle != null && !idle.isEmpty()) {
            IdleConnection newest = idle.pollLast();
            long usableUntilNanos = nonRepeatable
                    ? newest.idleSinceNanos() + (newest.expiresAtNanos() - newest.idleSinceNanos()) / 2
                    : newest.expiresAtNanos();
            if (newest.connection().isOpen()
                    && now - usableUntilNanos < 0
                    && ConnectionGuards.of(newest.connection()).use().isQuiet()) {
                return newest;
            }
            closeNow(newest.connection());
        }
        return null;
    }

    /** Opens a connection. */
    void open(Address address, AcquireCallback callback) {
        opened.inc();
        ConnectAttempt connectAttempt = new ConnectAttempt(callback, opener);
        connectAttempt.timer =
                thread.executeAfter(connectAttempt::expireSoon, CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        dialer.connect(address, opener, buffers, connectAttempt);
    }

    /** One attempt to connect; ends once. */
    private static final class ConnectAttempt implements ClientCallback<ClientConnection> {
        private final AcquireCallback callback;
        private final ConnectionOpener opener;
        private XnioExecutor.Key timer;
        private boolean ended;

        ConnectAttempt(AcquireCallback callback, ConnectionOpener opener) {
            this.callback = callback;
            this.opener = opener;
        }

        @Override
        public void completed(ClientConnection connection) {
            opener.attachLatestTo(connection);
            if (tryEnd()) {
                callback.onAcquired(connection, true);
            } else {
                closeNow(connection);
            }
        }

        @Override
        public void failed(IOException e) {
            if (tryEnd()) {
                callback.onRefused(String.valueOf(e.getMessage()));
            }
        }

        /** A thread that was held up runs its timers before it looks at its sockets, one of which may be connected. */
        private void expireSoon() {
            timer = opener.executeAfter(this::expire, LAST_LOOK_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void expire() {
            if (tryEnd()) {
                callback.onFailed("no connection within " + CONNECT_TIMEOUT_MILLIS + " ms");
            }
        }

        private boolean tryEnd() {
            if (ended) {
                return false;
            }
            ended = true;
            if (timer != null) {
                timer.remove();
            }
            return true;
        }
    }

    /**
     * Keeps a connection for reuse after a complete answer.
     *
     * @param keepAliveSeconds seconds for which the server keeps it idle, 0 to close it, negative when unknown
     */
    void release(Address address, ClientConnection connection, int keepAliveSeconds) {
        if (!connection.isOpen() || keepAliveSeconds == 0) {
            closeNow(connection);
            return;
        }
        long keepAliveMillis =
                keepAliveSeconds < 0 ? DEFAULT_KEEP_ALIVE_MILLIS : (long) (keepAliveSeconds * 1000L * KEEP_ALIVE_SHARE);
        long now = clock.nanos();
        idleConnections
                .computeIfAbsent(address, each -> new ArrayDeque<>())
                .addLast(new IdleConnection(connection, now, now + keepAliveMillis * NANOS_PER_MILLI));
    }

    /**
     * Closes a connection so that the server detects it at once. The client's own close waits for the end of the answer
     * and sends the server nothing, so that an engine would go on working on an abandoned call until its answer was
     * complete. {@code performUpgrade} hands over the socket itself, as for a change of protocol; the server detects
     * its closing after 4 ms.
     */
    static void closeNow(ClientConnection connection) {
        try {
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException e) {
            // Already closed.
            IoUtils.safeClose(connection);
        }
    }

    /**
     * Closes a connection with a request under way, as {@link #closeNow} does, and resets it: bytes of the request that
     * a cut of the link holds up would otherwise reach the server when the link is back, and it would run a call that
     * was abandoned long before.
     */
    static void reset(ClientConnection connection) {
        try {
            StreamConnection socket = connection.performUpgrade();
            socket.setOption(Options.CLOSE_ABORT, true);
            IoUtils.safeClose(socket);
        } catch (IOException e) {
            // Already closed.
            IoUtils.safeClose(connection);
        }
    }

    private void evictExpired() {
        long now = clock.nanos();
        idleConnections.values().removeIf(idle -> {
            idle.removeIf(each -> {
                boolean expired = !each.connection().isOpen() || now - each.expiresAtNanos() >= 0;
                if (expired) {
                    closeNow(each.connection());
                }
                return expired;
            });
            return idle.isEmpty();
        });
        thread.executeAfter(this::evictExpired, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
}
