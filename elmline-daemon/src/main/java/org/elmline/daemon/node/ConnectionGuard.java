package org.elmline.daemon.node;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import org.elmline.core.common.MonotonicClock;
import org.elmline.daemon.node.GuardedConnection.Phase;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/**
 * Bounds what the clients of all HTTP ports of a process hold together, before a route or a key is known: connections, and
 * the bytes of requests and answers that no other account counts. Without room, the connection that has waited for its
 * client for longest is closed, so that a new client is served however many send nothing. Used on the I/O thread only.
 */
public final class ConnectionGuard {
    /** Share of the largest heap that all connections hold together; an entry's account of its calls has 0.6 of it. */
    private static final double HEAP_SHARE = 1.0 / 6;

    /** Bytes in a row that are no data of a body and no head: sizes and extensions of chunks, trailers. */
    private static final int MAX_FRAMING_BYTES = 24 * 1024;

    /** Bytes of a head beyond its limit that one read may bring, as for pipelined requests. */
    private static final int READ_BYTES = 8 * 1024;

    /** Time without a byte after which a client that owes a body, or does not read its answer, is disconnected. */
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Time for one body, at which 4 MB arrive over 0.3 Mbit/s. */
    private static final long BODY_NANOS = TimeUnit.SECONDS.toNanos(120);

    private static final long CHECK_SECONDS = 1;

    private final MonotonicClock clock;
    private final XnioExecutor thread;
    private final long boundBytes;
    private final Counter displaced;
    private final Counter refused;
    private final Map<StreamConnection, GuardedConnection> connections = new IdentityHashMap<>();
    private final Map<PortRole, Port> ports = new EnumMap<>(PortRole.class);
    private int maxHeaderBytes;
    private long headNanos;
    private long requestIdleNanos;
    private long heldBytes;
    private boolean checking;

    /** The connections of one port; those that wait for their clients in the order in which they began to. */
    private static final class Port {
        private final Set<GuardedConnection> waiting = new LinkedHashSet<>();
        private int open;
    }

    public ConnectionGuard(XnioExecutor thread, MonotonicClock clock, long maxHeapBytes, MetricRegistry metrics) {
        this.thread = thread;
        this.clock = clock;
        this.boundBytes = (long) (maxHeapBytes * HEAP_SHARE);
        this.displaced = metrics.counter("connections.displaced");
        this.refused = metrics.counter("connections.refused");
        metrics.gauge("connections.open", () -> connections::size);
        metrics.gauge("connections.held.bytes", () -> () -> heldBytes);
    }

    long now() {
        return clock.nanos();
    }

    /**
     * Sets the limits on heads and on connections without a request, also of open connections. The times are the guard's,
     * as those of the HTTP server keep each closed connection in memory until they have passed.
     */
    public void limits(int headBytes, long headMillis, long requestIdleMillis) {
        maxHeaderBytes = headBytes;
        headNanos = TimeUnit.MILLISECONDS.toNanos(headMillis);
        requestIdleNanos = TimeUnit.MILLISECONDS.toNanos(requestIdleMillis);
    }

    /** A listener that guards each connection before the HTTP server serves it. */
    public ChannelListener<StreamConnection> guard(PortRole role, HttpOpenListener server) {
        ports.put(role, new Port());
        return connection -> open(connection, role, server);
    }

    private void open(StreamConnection connection, PortRole role, HttpOpenListener server) {
        Port port = ports.get(role);
        if (port.open >= role.maxConnections() && !closeLongestWaiting(port)) {
            refused.inc();
            IoUtils.safeClose(connection);
            return;
        }
        GuardedConnection guarded = new GuardedConnection(this, connection, role, now());
        guarded.attach();
        connections.put(connection, guarded);
        port.open++;
        port.waiting.add(guarded);
        startChecking();
        server.handleEvent(connection);
        ChannelListener<? super StreamConnection> onClose = connection.getCloseListener();
        connection.setCloseListener(closed -> {
            remove(guarded);
            if (onClose != null) {
                onClose.handleEvent(closed);
            }
        });
        if (!connection.isOpen()) {
            remove(guarded);
        }
    }

    /** Returns a handler that lets the guard see each request of another one. */
    public HttpHandler track(HttpHandler next) {
        return exchange -> {
            GuardedConnection guarded = connectionOf(exchange);
            if (guarded != null) {
                guarded.begin(exchange);
            }
            next.handleRequest(exchange);
        };
    }

    private GuardedConnection connectionOf(HttpServerExchange exchange) {
        return exchange.getConnection() instanceof AbstractServerConnection http
                ? connections.get(http.getChannel())
                : null;
    }

    private void remove(GuardedConnection guarded) {
        if (connections.remove(guarded.connection()) == null) {
            return;
        }
        Port port = ports.get(guarded.role());
        port.open--;
        port.waiting.remove(guarded);
        heldBytes -= guarded.countedBytes();
        guarded.counted(0);
    }

    /** To be called when a connection begins to wait for something else. */
    void onPhase(GuardedConnection guarded) {
        if (!connections.containsKey(guarded.connection())) {
            return;
        }
        Set<GuardedConnection> waiting = ports.get(guarded.role()).waiting;
        waiting.remove(guarded);
        if (guarded.phase().waitsForClient()) {
            waiting.add(guarded);
        }
        count(guarded);
    }

    /**
     * To be called when a connection holds more or less than before.
     *
     * @return whether the connection may go on; if not, it is closed
     */
    boolean onChange(GuardedConnection guarded) {
        if (!connections.containsKey(guarded.connection())) {
            return guarded.connection().isOpen();
        }
        count(guarded);
        if (guarded.elementBytes() > maxElementBytes(guarded)) {
            close(guarded);
        }
        while (heldBytes > boundBytes) {
            close(longestHolding().orElse(guarded));
        }
        return guarded.connection().isOpen();
    }

    private int maxElementBytes(GuardedConnection guarded) {
        return guarded.phase() == Phase.BODY
                ? MAX_FRAMING_BYTES
                : maxHeaderBytes + guarded.role().additionalHeaderBytes() + READ_BYTES;
    }

    private void count(GuardedConnection guarded) {
        long held = guarded.heldBytes();
        heldBytes += held - guarded.countedBytes();
        guarded.counted(held);
    }

    private boolean closeLongestWaiting(Port port) {
        Iterator<GuardedConnection> inOrder = port.waiting.iterator();
        if (!inOrder.hasNext()) {
            return false;
        }
        close(inOrder.next());
        return true;
    }

    /** The connection with counted bytes that has waited for its client for longest. */
    private Optional<GuardedConnection> longestHolding() {
        long now = now();
        return ports.values().stream()
                .flatMap(each -> each.waiting.stream()
                        .filter(waiting -> waiting.countedBytes() > 0)
                        .limit(1))
                .max(Comparator.comparingLong(each -> each.phaseNanos(now)));
    }

    private void close(GuardedConnection guarded) {
        displaced.inc();
        end(guarded);
    }

    private void end(GuardedConnection guarded) {
        remove(guarded);
        IoUtils.safeClose(guarded.connection());
    }

    private void startChecking() {
        if (!checking) {
            checking = true;
            thread.executeAfter(this::check, CHECK_SECONDS, TimeUnit.SECONDS);
        }
    }

    /** Closes connections whose clients send nothing, or do not read, for too long. */
    private void check() {
        long now = now();
        List<GuardedConnection> overdue = connections.values().stream()
                .filter(each -> isOverdue(each, now))
                .toList();
        overdue.forEach(this::end);
        checking = false;
        if (!connections.isEmpty()) {
            startChecking();
        }
    }

    private boolean isOverdue(GuardedConnection guarded, long now) {
        return switch (guarded.phase()) {
            case HEAD -> guarded.headNanos(now) > headNanos || guarded.phaseNanos(now) > requestIdleNanos;
            case BODY -> guarded.idleNanos(now) > IDLE_NANOS || guarded.phaseNanos(now) > BODY_NANOS;
            case BLOCKED -> guarded.idleNanos(now) > IDLE_NANOS;
            case ANSWER -> false;
        };
    }
}
