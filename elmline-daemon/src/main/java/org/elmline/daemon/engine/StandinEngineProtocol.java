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
import org.elmline.daemon.http.CheckedAnswers;

/**
 * Protocol of the stand-in engines over HTTP, see docs/ENGINE-PROTOCOL.md. Streams and short calls have separate
 * bounded thread pools: with one pool, enough open streams would occupy every thread, and the cancels that free them
 * could not be sent. Thread-safe.
 */
public final class StandinEngineProtocol implements EngineProtocol, AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
    /**
     * The engine sends a line at least once a second; when none arrives for this long, the engine is taken as failed.
     */
    private static final Duration STREAM_TIMEOUT = Duration.ofSeconds(5);

    private static final int DEFAULT_STREAM_THREADS = 1_024;
    private static final int DEFAULT_CALL_THREADS = 32;
    private static final long IDLE_THREAD_SECONDS = 30;

    private final OkHttpClient streamClient;
    private final OkHttpClient callClient;

    /** Used by {@link java.util.ServiceLoader}; creates its own thread pools. */
    public StandinEngineProtocol() {
        this(
                threadPool("engine-stream", DEFAULT_STREAM_THREADS),
                DEFAULT_STREAM_THREADS,
                threadPool("engine-call", DEFAULT_CALL_THREADS),
                DEFAULT_CALL_THREADS);
    }

    /**
     * Uses the given pools, which {@link #close} shuts down.
     *
     * @param maxStreams maximum number of streams read concurrently; further ones wait for a thread
     * @param maxCalls maximum number of concurrent short calls; further ones wait for a thread
     */
    public StandinEngineProtocol(ExecutorService streamReaders, int maxStreams, ExecutorService callers, int maxCalls) {
        OkHttpClient common = CheckedAnswers.addTo(new OkHttpClient.Builder())
                .connectTimeout(CONNECT_TIMEOUT)
                .eventListenerFactory(call -> SendTracker.of(call.request()))
                // OkHttp must not retry by itself: a call that this process counts as sent once could then run twice.
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

    private static Dispatcher dispatcher(ExecutorService executor, int maxRequests) {
        Dispatcher dispatcher = new Dispatcher(executor);
        dispatcher.setMaxRequests(maxRequests);
        dispatcher.setMaxRequestsPerHost(maxRequests);
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
