package org.elmline.daemon.http;

import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import org.elmline.core.common.Address;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.daemon.node.OpenRequests;
import org.elmline.daemon.node.RequestCompletion;

/** One bound HTTP port with its limits. */
public final class HttpListener implements AutoCloseable {
    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 2;
    private static final Refusal STOPPING =
            Refusal.retryLater(RefusalReason.LEAVING, "this host is stopping; use another one", 1_000);

    private final Undertow server;
    private final RefusableHandler handler;
    private final OpenRequests openRequests;
    private final RequestCompletion completion;
    private final String ip;

    private HttpListener(Undertow server, RefusableHandler handler, OpenRequests openRequests, String ip) {
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
        Undertow server = Undertow.builder()
                .addHttpListener(port, ip)
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(WORKER_THREADS)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, limits.maxBodyBytes())
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes())
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleTimeoutMillis())
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.readTimeoutMillis())
                .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
                .setSocketOption(org.xnio.Options.READ_TIMEOUT, limits.readTimeoutMillis())
                .setSocketOption(org.xnio.Options.CONNECTION_HIGH_WATER, limits.maxConnections())
                .setSocketOption(org.xnio.Options.CONNECTION_LOW_WATER, limits.maxConnections())
                .setHandler(openRequests.track(refusable))
                .build();
        server.start();
        return new HttpListener(server, refusable, openRequests, ip);
    }

    public Address address() {
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return new Address(ip, bound.getPort());
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
        server.stop();
    }
}
