package org.elmline.daemon.gateway;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import org.elmline.core.common.Address;
import org.elmline.core.common.MonotonicClock;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Connections to backend servers, kept while idle for as long as the server says it keeps them: a new connection costs
 * the server work. Used on the I/O thread only.
 */
final class BackendConnectionPool {
    /**
     * Time to connect: many times a round trip between failure domains. A server that is dark answers nothing, and a call
     * that waits for it can't be in time any more.
     */
    private static final long CONNECT_TIMEOUT_MILLIS = 250;

    /** Idle time for servers that do not say how long they keep a connection. */
    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 2_500;

    /** Part of the time that a server keeps a connection after which it isn't used: a request sent as the server closes
     * would be lost. */
    private static final double KEEP_ALIVE_SHARE = 0.7;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long SWEEP_INTERVAL_MILLIS = 1_000;

    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final MonotonicClock clock;
    private final Counter opened;
    private final Counter reused;
    private final Map<Address, Deque<IdleConnection>> idleConnections = new HashMap<>();

    private record IdleConnection(ClientConnection connection, long idleSinceNanos, long expiresAtNanos) {}

    /** Gets a connection, or why there is none. */
    interface AcquireCallback {
        void onAcquired(ClientConnection connection);

        void onFailed(String why);
    }

    BackendConnectionPool(XnioIoThread thread, ByteBufferPool buffers, MonotonicClock clock, MetricRegistry metrics) {
        this.thread = thread;
        this.buffers = buffers;
        this.clock = clock;
        this.opened = metrics.counter("backend.connections.opened");
        this.reused = metrics.counter("backend.connections.reused");
        thread.executeAfter(this::evictExpired, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Takes an idle connection or opens one.
     *
     * @param nonRepeatable whether the call can't be sent again: of an idle connection only the first half of its time is used
     */
    void acquire(Address address, boolean nonRepeatable, AcquireCallback callback) {
        IdleConnection idle = pollIdle(address, nonRepeatable);
        if (idle != null) {
            reused.inc();
            callback.onAcquired(idle.connection());
        } else {
            connect(address, callback);
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
            if (newest.connection().isOpen() && now - usableUntilNanos < 0) {
                return newest;
            }
            closeNow(newest.connection());
        }
        return null;
    }

    private void connect(Address address, AcquireCallback callback) {
        opened.inc();
        ConnectAttempt connectAttempt = new ConnectAttempt(callback);
        connectAttempt.timer =
                thread.executeAfter(connectAttempt::expire, CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        UndertowClient.getInstance()
                .connect(connectAttempt, URI.create("http://" + address), thread, buffers, OptionMap.EMPTY);
    }

    /** One attempt to connect, which ends once. */
    private static final class ConnectAttempt implements ClientCallback<ClientConnection> {
        private final AcquireCallback callback;
        private XnioExecutor.Key timer;
        private boolean ended;

        ConnectAttempt(AcquireCallback callback) {
            this.callback = callback;
        }

        @Override
        public void completed(ClientConnection connection) {
            if (tryEnd()) {
                callback.onAcquired(connection);
            } else {
                closeNow(connection);
            }
        }

        @Override
        public void failed(IOException e) {
            if (tryEnd()) {
                callback.onFailed(String.valueOf(e.getMessage()));
            }
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

    /** Keeps a connection whose last answer is complete. */
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
     * Closes a connection so that the server learns of it at once. The client's own close waits for the server to finish
     * and tells it nothing: an engine worked on for nobody, for as long as its answer took. Taken over as if for another
     * protocol, the socket itself can be closed; seen by the server after 4 ms.
     */
    static void closeNow(ClientConnection connection) {
        try {
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException e) {
            // Closed already.
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
