package org.elmline.daemon.http;

import java.net.InetSocketAddress;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import org.elmline.core.common.Address;

/** One bound HTTP port with its limits. */
public final class HttpListener implements AutoCloseable {
    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 2;

    private final Undertow server;
    private final String ip;

    private HttpListener(Undertow server, String ip) {
        this.server = server;
        this.ip = ip;
    }

    /** Binds at once; port 0 selects a free one. */
    public static HttpListener start(String ip, int port, HttpLimits limits, HttpHandler handler) {
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
                .setHandler(handler)
                .build();
        server.start();
        return new HttpListener(server, ip);
    }

    public Address address() {
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return new Address(ip, bound.getPort());
    }

    @Override
    public void close() {
        server.stop();
    }
}
