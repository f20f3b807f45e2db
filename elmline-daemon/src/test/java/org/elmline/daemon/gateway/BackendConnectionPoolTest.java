package org.elmline.daemon.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import io.undertow.client.ClientConnection;
import io.undertow.server.DefaultByteBufferPool;
import org.elmline.core.common.Address;
import org.elmline.daemon.runtime.SystemClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

class BackendConnectionPoolTest {
    private static final int BUFFER_BYTES = 4_096;

    /** Reuses within which a byte that was sent on loopback has arrived. */
    private static final int MAX_REUSES = 100_000;

    private XnioWorker worker;
    private ServerSocket server;
    private Socket accepted;
    private Address address;
    private BackendConnectionPool pool;
    private ClientConnection connection;

    @BeforeEach
    void connect() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        address = new Address("127.0.0.1", server.getLocalPort());
        pool = onIoThread(() -> new BackendConnectionPool(
                BackendDialer.TCP,
                worker.getIoThread(),
                new DefaultByteBufferPool(false, BUFFER_BYTES),
                new SystemClock(),
                new MetricRegistry()));
        CompletableFuture<ClientConnection> opened = new CompletableFuture<>();
        onIoThread(() -> {
            acquire((each, isNew) -> opened.complete(each));
            return null;
        });
        accepted = server.accept();
        connection = opened.get();
    }

    @AfterEach
    void close() throws IOException {
        accepted.close();
        server.close();
        worker.shutdownNow();
    }

    private interface Acquired {
        void accept(ClientConnection connection, boolean opened);
    }

    private void acquire(Acquired acquired) {
        pool.acquire(address, false, new BackendConnectionPool.AcquireCallback() {
            @Override
            public void onAcquired(ClientConnection each, boolean opened) {
                acquired.accept(each, opened);
            }

            @Override
            public void onFailed(String why) {
                throw new AssertionError(why);
            }
        });
    }

    private <T> T onIoThread(Callable<T> task) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        worker.getIoThread().execute(() -> {
            try {
                result.complete(task.call());
            } catch (Exception | AssertionError e) {
                result.completeExceptionally(e);
            }
        });
        return result.get();
    }

    /** Takes the connection and gives it back until it is no longer reused; nothing else runs on the thread. */
    private boolean isReplaced() {
        boolean[] reused = {true};
        for (int i = 0; i < MAX_REUSES && reused[0]; i++) {
            reused[0] = false;
            pool.release(address, connection, -1);
            acquire((each, opened) -> reused[0] = !opened);
        }
        return !reused[0];
    }

    @Test
    void reusesConnectionOnWhichNothingArrived() throws Exception {
        CompletableFuture<ClientConnection> reused = new CompletableFuture<>();
        onIoThread(() -> {
            pool.release(address, connection, -1);
            acquire((each, opened) -> reused.complete(each));
            return null;
        });
        assertSame(connection, reused.get());
    }

    /** Guards against a request on a connection with bytes to which the I/O thread has not come yet. */
    @Test
    void doesNotReuseConnectionOnWhichBytesHaveJustArrived() throws Exception {
        assertTrue(onIoThread(() -> {
            accepted.getOutputStream().write('H');
            return isReplaced();
        }));
        assertFalse(connection.isOpen());
    }

    /** Guards against a request on a connection that its server has just closed. */
    @Test
    void doesNotReuseConnectionThatItsServerHasJustClosed() throws Exception {
        assertTrue(onIoThread(() -> {
            accepted.close();
            return isReplaced();
        }));
    }
}
