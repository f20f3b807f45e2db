package org.elmline.daemon.engine;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import org.elmline.core.common.Address;
import org.elmline.core.engine.EngineClient;
import org.elmline.core.engine.EngineProtocol;

/**
 * Speaks the stand-ins' HTTP interface, see docs/ENGINE-PROTOCOL.md. Streams and short calls have bounded pools of
 * their own: with one pool, enough open streams would hold every thread, and the cancels that free them could not be
 * sent.
 */
public final class StandinEngineProtocol implements EngineProtocol, AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
    /** The engine sends a line at least once a second, so this silence means that it is gone. */
    private static final Duration STREAM_TIMEOUT = Duration.ofSeconds(5);

    private static final int DEFAULT_STREAM_THREADS = 1_024;
    private static final int DEFAULT_CALL_THREADS = 32;
    private static final long IDLE_THREAD_SECONDS = 30;

    private final OkHttpClient streamClient;
    private final OkHttpClient callClient;

    /** As {@link java.util.ServiceLoader} makes it, with pools of its own. */
    public StandinEngineProtocol() {
        this(
                threadPool("engine-stream", DEFAULT_STREAM_THREADS),
                DEFAULT_STREAM_THREADS,
                threadPool("engine-call", DEFAULT_CALL_THREADS),
                DEFAULT_CALL_THREADS);
    }

    /**
     * Uses the given pools, which it shuts down when closed.
     *
     * @param maxStreams streams read at one time; further ones wait for a thread
     */
    public StandinEngineProtocol(ExecutorService streamReaders, int maxStreams, ExecutorService callers, int maxCalls) {
        OkHttpClient common = new OkHttpClient.Builder()
                .connectTimeout(CONNECT_TIMEOUT)
                .eventListenerFactory(call -> SendTracker.of(call.request()))
                // A silent second try by the library would make "sent once" untrue.
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .connectionPool(new ConnectionPool(64, 30, TimeUnit.SECONDS))
                .build();
        streamClient = common.newBuilder()
                .dispatcher(dispatcher(streamReaders, maxStreams))
                .readTimeout(STREAM_TIMEOUT)
                .writeTimeout(STREAM_TIMEOUT)
                .build();
        callClient = common.newBuilder()
                .dispatcher(dispatcher(callers, maxCalls))
                .callTimeout(CALL_TIMEOUT)
                .build();
    }

    @Override
    public String name() {
        return "standin";
    }

    @Override
    public EngineClient connect(Address engine) {
        return new StandinEngineClient(engine, streamClient, callClient);
    }

    @Override
    public void close() {
        streamClient.dispatcher().cancelAll();
        callClient.dispatcher().cancelAll();
        streamClient.dispatcher().executorService().shutdown();
        callClient.dispatcher().executorService().shutdown();
        streamClient.connectionPool().evictAll();
    }

    private static Dispatcher dispatcher(ExecutorService executor, int most) {
        Dispatcher dispatcher = new Dispatcher(executor);
        dispatcher.setMaxRequests(most);
        dispatcher.setMaxRequestsPerHost(most);
        return dispatcher;
    }

    private static ExecutorService threadPool(String name, int threads) {
        AtomicInteger number = new AtomicInteger();
        return new ThreadPoolExecutor(
                0, threads, IDLE_THREAD_SECONDS, TimeUnit.SECONDS, new SynchronousQueue<>(), r -> {
                    Thread thread = new Thread(r, name + "-" + number.incrementAndGet());
                    thread.setDaemon(true);
                    return thread;
                });
    }
}
