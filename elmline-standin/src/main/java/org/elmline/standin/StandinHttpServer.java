package org.elmline.standin;

import java.net.InetSocketAddress;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import org.elmline.core.common.Address;

/** An HTTP server on loopback, as every stand-in opens it. */
public final class StandinHttpServer implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 256;
    private static final long MAX_BODY_BYTES = 64L << 20;

    private final Undertow server;
    private final Address address;

    /** Opens at once; port 0 takes any free one. */
    public StandinHttpServer(int port, HttpHandler handler) {
        server = Undertow.builder()
                .addHttpListener(port, LOOPBACK)
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(WORKER_THREADS)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                .setHandler(handler)
                .build();
        server.start();
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        address = new Address(LOOPBACK, bound.getPort());
    }

    public Address address() {
        return address;
    }

    @Override
    public void close() {
        server.stop();
    }
}
