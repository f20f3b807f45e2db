package org.elmline.daemon.http;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import org.elmline.core.common.Address;
import org.elmline.daemon.node.OpenRequests;

/** One bound HTTP port with its limits. */
public final class HttpListener implements AutoCloseable {
    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 2;
    private static final long CHECK_INTERVAL_MILLIS = 10;

    private final Undertow server;
    private final OpenRequests openRequests;
    private final String ip;

    private HttpListener(Undertow server, OpenRequests openRequests, String ip) {
        this.server = server;
        this.openRequests = openRequests;
        this.ip = ip;
    }

    /** Binds at once; port 0 selects a free one. */
    public static HttpListener start(String ip, int port, HttpLimits limits, HttpHandler handler) {
        OpenRequests openRequests = new OpenRequests();
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
                .setHandler(openRequests.track(handler))
                .build();
        server.start();
        return new HttpListener(server, openRequests, ip);
    }

    public Address address() {
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return new Address(ip, bound.getPort());
    }

    /**
     * Ends the connection of each answer that begins from now on, and returns once all requests are answered, or after the
     * time limit. Requests are served on meanwhile.
     */
    public void finishRequests(long timeoutMillis) throws InterruptedException {
        openRequests.closeConnectionsAfterAnswers();
        long startNanos = System.nanoTime();
        while (!openRequests.isEmpty()
                && System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(timeoutMillis)) {
            Thread.sleep(CHECK_INTERVAL_MILLIS);
        }
    }

    @Override
    public void close() {
        server.stop();
    }
}
