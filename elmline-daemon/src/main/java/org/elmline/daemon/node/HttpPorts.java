package org.elmline.daemon.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import com.codahale.metrics.MetricRegistry;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import org.elmline.core.common.Address;
import org.elmline.core.common.Closer;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.routing.CallerLimits;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * The HTTP ports of one process, served by one thread. Hosts have one core, on which more threads would only alternate,
 * and with a single thread the state of calls needs no locks.
 */
public final class HttpPorts implements AutoCloseable {
    /**
     * Time for which an idle connection stays open beyond the limit that callers apply. The caller must close first: a
     * request that is sent while the server closes the connection is lost.
     */
    private static final int IDLE_GRACE_MILLIS = 5_000;

    private static final int ACCEPT_BACKLOG_CONNECTIONS = 1_024;

    private static final int BUFFER_BYTES = 8 * 1024;

    /** Connections above a port's limit that may be accepted before the guard has closed others. */
    private static final int ACCEPTED_AHEAD = 16;

    private static final OptionMap SOCKET_OPTIONS = OptionMap.builder()
            .set(Options.BACKLOG, ACCEPT_BACKLOG_CONNECTIONS)
            .set(Options.REUSE_ADDRESSES, true)
            .set(Options.TCP_NODELAY, true)
            .getMap();

    private final Closer closer = new Closer();
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final List<HttpPort> ports = new CopyOnWriteArrayList<>();
    private final List<AcceptingChannel<StreamConnection>> servers = new CopyOnWriteArrayList<>();
    private final OpenRequests openRequests = new OpenRequests();
    private final XnioWorker worker;
    private final ConnectionGuard guard;
    private volatile CallerLimits callerLimits = CallerLimits.DEFAULT;

    private record HttpPort(PortRole role, Address address, HttpOpenListener listener) {
        void apply(CallerLimits limits) {
            listener.setUndertowOptions(options(limits, role.additionalHeaderBytes()));
        }
    }

    /** Starts the threads; binds no port yet. */
    public HttpPorts(MonotonicClock clock, MetricRegistry metrics) throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        closer.register(worker::shutdownNow);
        guard = new ConnectionGuard(
                worker.getIoThread(), clock, Runtime.getRuntime().maxMemory(), metrics);
        applyToGuard(callerLimits);
    }

    /** Adds a port with its handler. Must be called before {@link #start()}. */
    public HttpPorts addPort(PortRole role, Address address, HttpHandler handler) {
        HttpOpenListener listener = new HttpOpenListener(buffers);
        listener.setRootHandler(guard.track(openRequests.track(handler)));
        HttpPort port = new HttpPort(role, address, listener);
        ports.add(port);
        port.apply(callerLimits);
        return this;
    }

    /**
     * Binds all ports. The ports are bound here rather than by {@code Undertow}, which looks up the provider of the
     * worker again, in the program's file, while the threads of this process run already.
     */
    public HttpPorts start() throws IOException {
        for (HttpPort each : ports) {
            bind(each);
        }
        return this;
    }

    private void bind(HttpPort port) throws IOException {
        InetSocketAddress address =
                new InetSocketAddress(port.address().ip(), port.address().port());
        int highWater = port.role().maxConnections() + ACCEPTED_AHEAD;
        OptionMap socketOptions = OptionMap.builder()
                .addAll(SOCKET_OPTIONS)
                .set(Options.CONNECTION_HIGH_WATER, highWater)
                .set(Options.CONNECTION_LOW_WATER, highWater)
                .getMap();
        AcceptingChannel<StreamConnection> server = worker.createStreamConnectionServer(
                address,
                ChannelListeners.openListenerAdapter(guard.guard(port.role(), port.listener())),
                socketOptions);
        closer.register(server);
        servers.add(server);
        server.resumeAccepts();
    }

    /** The server's threads; a single I/O thread runs all handlers. */
    public XnioWorker worker() {
        return worker;
    }

    /** Lets each answer that begins from now on end its connection. */
    public void closeConnectionsAfterAnswers() {
        openRequests.closeConnectionsAfterAnswers();
    }

    /** Accepts no connections any more; open ones are served on. */
    public void stopAccepting() {
        servers.forEach(IoUtils::safeClose);
    }

    /**
     * Closes all connections. On the I/O thread this happens before any further request is read: one that had been read
     * would be owed an answer.
     */
    public void closeConnections() {
        ports.forEach(each -> each.listener().closeConnections());
    }

    /** The requests that are not answered yet. */
    public OpenRequests openRequests() {
        return openRequests;
    }

    /** Buffer pool of the ports, shared with components that run on the same thread. */
    public ByteBufferPool buffers() {
        return buffers;
    }

    /**
     * Applies limits: times at once, sizes to new connections. A first routing table may bring them before the
     * ports are added.
     */
    public void applyLimits(CallerLimits limits) {
        callerLimits = limits;
        applyToGuard(limits);
        ports.forEach(each -> each.apply(limits));
    }

    private void applyToGuard(CallerLimits limits) {
        guard.limits(
                limits.maxHeaderBytes(), limits.headerTimeoutMillis(), limits.idleTimeoutMillis() + IDLE_GRACE_MILLIS);
    }

    private static OptionMap options(CallerLimits limits, int additionalHeaderBytes) {
        return OptionMap.builder()
                .set(UndertowOptions.DECODE_URL, false)
                .set(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes() + additionalHeaderBytes)
                .set(UndertowOptions.MAX_ENTITY_SIZE, limits.maxBodyBytes())
                .getMap();
    }

    @Override
    public void close() {
        closer.close();
    }
}
