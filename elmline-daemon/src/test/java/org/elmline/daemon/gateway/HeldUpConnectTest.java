package org.elmline.daemon.gateway;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.undertow.client.ClientConnection;
import org.elmline.core.common.Address;
import org.elmline.daemon.node.HttpPorts;
import org.elmline.daemon.runtime.SystemClock;
import org.junit.jupiter.api.Test;
import org.xnio.XnioIoThread;

import static org.junit.jupiter.api.Assertions.assertEquals;

class HeldUpConnectTest {
    private static final String IP = "127.0.0.1";

    /** More than the time-out of connections. */
    private static final long HELD_UP_MILLIS = 400;

    private static final long TIMEOUT_SECONDS = 10;

    /** Guards against sound servers that are taken for lost by an entry whose own thread was held up. */
    @Test
    void connectionMadeWhileTheThreadIsHeldUpCounts() throws Exception {
        CompletableFuture<String> result = new CompletableFuture<>();
        try (HttpPorts ports = new HttpPorts(new SystemClock(), new MetricRegistry());
                ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName(IP))) {
            XnioIoThread thread = ports.worker().getIoThread();
            thread.execute(() -> {
                BackendConnectionPool pool = new BackendConnectionPool(
                        BackendDialer.TCP, thread, ports.buffers(), new SystemClock(), new MetricRegistry());
                pool.open(new Address(IP, server.getLocalPort()), completing(result));
                holdUp();
            });
            assertEquals("connected", result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    private static BackendConnectionPool.AcquireCallback completing(CompletableFuture<String> result) {
        return new BackendConnectionPool.AcquireCallback() {
            @Override
            public void onAcquired(ClientConnection connection, boolean opened) {
                result.complete("connected");
            }

            @Override
            public void onFailed(String why) {
                result.complete(why);
            }
        };
    }

    private static void holdUp() {
        try {
            Thread.sleep(HELD_UP_MILLIS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
