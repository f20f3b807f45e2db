package org.elmline.standin;

import java.net.InetSocketAddress;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import org.elmline.core.common.Address;

/** HTTP server on the loopback address, as used by all stand-ins. Accepts request bodies of up to 64 MiB. */
public final class StandinHttpServer implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 256;
    private static final long MAX_BODY_BYTES = 64L << 20;

    private final Undertow server;
    private final Address address;

    /** Starts to listen; port 0 selects a free port. */
    public StandinHttpServer(int port, HttpHandler handler) {
        server = Undertow.builder()
                .addHttpListener(port, LOOPBACK)
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(WORKER_THREADS)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                .setHandler(handler)
                .build();
        server.start();
        InetSocketAddress boundAddress =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        address = new Address(LOOPBACK, boundAddress.getPort());
    }

    public Address address() {
        return address;
    }

    @Override
    public void close() {
        server.stop();
    }
}
