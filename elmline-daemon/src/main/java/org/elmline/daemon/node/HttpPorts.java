package org.elmline.daemon.node;

import java.io.IOException;
import java.net.InetSocketAddress;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import org.elmline.core.common.Address;
import org.elmline.core.routing.CallerLimits;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

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

    /** Bytes of the headers that entries add to those of a caller. */
    private static final int RELAY_HEADER_BYTES = 4 * 1024;

    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final Undertow.Builder builder = Undertow.builder();
    private final XnioWorker worker;
    private Undertow server;
    private volatile Undertow startedServer;
    private volatile CallerLimits appliedLimits;
    private Address relayPort;

    /** Starts the threads; binds no port yet. */
    public HttpPorts() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        builder.setByteBufferPool(buffers)
                .setWorker(worker)
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .setServerOption(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
                .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setSocketOption(Options.BACKLOG, ACCEPT_BACKLOG_CONNECTIONS)
                .setSocketOption(Options.TCP_NODELAY, true);
        setInitialLimits(CallerLimits.DEFAULT);
    }

    private void setInitialLimits(CallerLimits limits) {
        builder.setServerOption(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes())
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, limits.maxBodyBytes())
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleTimeoutMillis() + IDLE_GRACE_MILLIS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.headerTimeoutMillis());
    }

    /** Adds a port with its handler. Must be called before {@link #start()}. */
    public HttpPorts addPort(Address address, HttpHandler handler) {
        builder.addListener(new Undertow.ListenerBuilder()
                .setType(Undertow.ListenerType.HTTP)
                .setHost(address.ip())
                .setPort(address.port())
                .setRootHandler(handler));
        return this;
    }

    /** Adds the port on which other entries send requests of their callers. Must be called before {@link #start()}. */
    public HttpPorts addRelayPort(Address address, HttpHandler handler) {
        relayPort = address;
        return addPort(address, handler);
    }

    /** Binds all ports. */
    public HttpPorts start() {
        server = builder.build();
        server.start();
        startedServer = server;
        applyLimitsOnceStarted();
        return this;
    }

    /** The server's threads; a single I/O thread runs all handlers. */
    public XnioWorker worker() {
        return worker;
    }

    /** Buffer pool of the ports, shared with components that run on the same thread. */
    public ByteBufferPool buffers() {
        return buffers;
    }

    /**
     * Applies limits to new connections; open connections keep theirs. A first routing table may bring them before the
     * ports are bound.
     */
    public void applyLimits(CallerLimits limits) {
        appliedLimits = limits;
        applyLimitsOnceStarted();
    }

    private void applyLimitsOnceStarted() {
        Undertow running = startedServer;
        CallerLimits limits = appliedLimits;
        if (running == null || limits == null) {
            return;
        }
        OptionMap options = options(limits, limits.maxHeaderBytes());
        OptionMap relayOptions = options(limits, limits.maxHeaderBytes() + RELAY_HEADER_BYTES);
        running.getListenerInfo().forEach(each -> each.setServerOptions(isRelayPort(each) ? relayOptions : options));
    }

    private boolean isRelayPort(Undertow.ListenerInfo listener) {
        return relayPort != null
                && listener.getAddress() instanceof InetSocketAddress address
                && address.getPort() == relayPort.port();
    }

    private static OptionMap options(CallerLimits limits, int maxHeaderBytes) {
        return OptionMap.builder()
                .set(UndertowOptions.DECODE_URL, false)
                .set(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.MAX_HEADER_SIZE, maxHeaderBytes)
                .set(UndertowOptions.MAX_ENTITY_SIZE, limits.maxBodyBytes())
                .set(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleTimeoutMillis() + IDLE_GRACE_MILLIS)
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.headerTimeoutMillis())
                .getMap();
    }

    @Override
    public void close() {
        if (server != null) {
            server.stop();
        }
        worker.shutdownNow();
    }
}
