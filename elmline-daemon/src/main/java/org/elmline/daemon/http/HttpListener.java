package org.elmline.daemon.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;

import com.codahale.metrics.MetricRegistry;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import org.elmline.core.common.Address;
import org.elmline.core.common.Closer;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.daemon.node.ConnectionGuard;
import org.elmline.daemon.node.OpenRequests;
import org.elmline.daemon.node.PortRole;
import org.elmline.daemon.node.RequestCompletion;
import org.xnio.ChannelListeners;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** One bound HTTP port with its limits. */
public final class HttpListener implements AutoCloseable {
    /** The guard's state belongs to one thread. */
    private static final int IO_THREADS = 1;

    private static final int WORKER_THREADS = 2;
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int ACCEPT_BACKLOG_CONNECTIONS = 1_024;
    private static final Refusal STOPPING =
            Refusal.retryLater(RefusalReason.LEAVING, "this host is stopping; use another one", 1_000);

    private final Closer closer;
    private final AcceptingChannel<StreamConnection> server;
    private final RefusableHandler handler;
    private final OpenRequests openRequests;
    private final RequestCompletion completion;
    private final String ip;

    private HttpListener(
            Closer closer,
            AcceptingChannel<StreamConnection> server,
            RefusableHandler handler,
            OpenRequests openRequests,
            String ip) {
        this.closer = closer;
        this.server = server;
        this.handler = handler;
        this.openRequests = openRequests;
        this.completion = new RequestCompletion(openRequests, System::nanoTime, BooleanSupplier::getAsBoolean);
        this.ip = ip;
    }

    /** Binds at once; port 0 selects a free one. */
    public static HttpListener start(String ip, int port, HttpLimits limits, HttpHandler handler) {
        OpenRequests openRequests = new OpenRequests();
        RefusableHandler refusable =
                new RefusableHandler(handler, exchange -> JsonResponses.sendRefusal(exchange, STOPPING));
        Closer closer = new Closer();
        try {
            XnioWorker worker = startWorker();
            closer.register(worker::shutdownNow);
            ConnectionGuard guard = new ConnectionGuard(
                    worker.getIoThread(), System::nanoTime, Runtime.getRuntime().maxMemory(), new MetricRegistry());
            guard.limits(limits.maxHeaderBytes(), limits.readTimeoutMillis(), limits.idleTimeoutMillis());
            HttpOpenListener http =
                    new HttpOpenListener(new DefaultByteBufferPool(true, BUFFER_BYTES), httpOptions(limits));
            http.setRootHandler(guard.track(openRequests.track(refusable)));
            AcceptingChannel<StreamConnection> server = closer.register(worker.createStreamConnectionServer(
                    new InetSocketAddress(ip, port),
                    ChannelListeners.openListenerAdapter(guard.guard(PortRole.API, http)),
                    socketOptions(limits)));
            server.resumeAccepts();
            return new HttpListener(closer, server, refusable, openRequests, ip);
        } catch (IOException e) {
            closer.close();
            throw new UncheckedIOException("can't listen on " + ip + ":" + port, e);
        }
    }

    private static XnioWorker startWorker() throws IOException {
        return Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, IO_THREADS)
                        .set(Options.WORKER_TASK_CORE_THREADS, WORKER_THREADS)
                        .set(Options.WORKER_TASK_MAX_THREADS, WORKER_THREADS)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
    }

    private static OptionMap httpOptions(HttpLimits limits) {
        return OptionMap.builder()
                .set(UndertowOptions.MAX_ENTITY_SIZE, limits.maxBodyBytes())
                .set(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes())
                .getMap();
    }

    private static OptionMap socketOptions(HttpLimits limits) {
        return OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, ACCEPT_BACKLOG_CONNECTIONS)
                .set(Options.READ_TIMEOUT, limits.readTimeoutMillis())
                .set(Options.CONNECTION_HIGH_WATER, limits.maxConnections())
                .set(Options.CONNECTION_LOW_WATER, limits.maxConnections())
                .getMap();
    }

    public Address address() {
        return new Address(ip, server.getLocalAddress(InetSocketAddress.class).getPort());
    }

    /**
     * Refuses new requests with 503 on connections that close, and returns once the requests that were open are answered,
     * or after the time limit.
     */
    public void finishOpenRequests(long timeoutMillis) throws InterruptedException {
        // A request counts as open before it is handled, so one that is added after the look-up is refused.
        completion.awaitOpen(timeoutMillis, () -> {
            openRequests.closeConnectionsAfterAnswers();
            handler.refuseRequests();
        });
    }

    /**
     * Ends the connection of each answer that begins from now on, and returns once all requests are answered, or after the
     * time limit. New requests are served on meanwhile unless they are refused already.
     */
    public void finishRequests(long timeoutMillis) throws InterruptedException {
        openRequests.closeConnectionsAfterAnswers();
        completion.awaitQuiet(timeoutMillis, () -> {});
    }

    @Override
    public void close() {
        closer.close();
    }
}
