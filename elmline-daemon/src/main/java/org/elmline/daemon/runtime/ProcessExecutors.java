package org.elmline.daemon.runtime;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The executors of one process. Three pools, so that a slow reader of one kind can't keep another kind from running:
 * short handlers, blocking streams, and the connections' completions.
 */
public final class ProcessExecutors implements AutoCloseable {
    private static final int HANDLER_THREADS = Math.max(4, Runtime.getRuntime().availableProcessors());
    private static final int TIMER_THREADS = 2;
    private static final int CONNECTION_THREADS = 2;
    private static final long THREAD_IDLE_SECONDS = 30;

    private final ExecutorService handlers;
    private final ThreadPoolExecutor streams;
    private final ScheduledThreadPoolExecutor timer;
    private final AsynchronousChannelGroup channelGroup;

    /** @param maxStreams blocking streams that may run at once; one more is refused, never queued */
    public ProcessExecutors(String name, int maxStreams) {
        handlers = Executors.newFixedThreadPool(HANDLER_THREADS, namedThreadFactory(name + "-handler"));
        streams = new ThreadPoolExecutor(
                0,
                maxStreams,
                THREAD_IDLE_SECONDS,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                namedThreadFactory(name + "-stream"));
        timer = new ScheduledThreadPoolExecutor(TIMER_THREADS, namedThreadFactory(name + "-timer"));
        timer.setRemoveOnCancelPolicy(true);
        channelGroup = openChannelGroup(name);
    }

    /** Runs short tasks that never wait for another process. */
    public ExecutorService handlers() {
        return handlers;
    }

    /** Runs tasks that wait: one request or one engine stream each. Rejects a task when all its threads are busy. */
    public ExecutorService streams() {
        return streams;
    }

    public int activeStreams() {
        return streams.getActiveCount();
    }

    public ScheduledExecutorService timer() {
        return timer;
    }

    public AsynchronousChannelGroup channelGroup() {
        return channelGroup;
    }

    @Override
    public void close() {
        timer.shutdownNow();
        streams.shutdownNow();
        handlers.shutdownNow();
        try {
            channelGroup.shutdownNow();
        } catch (IOException e) {
            // The process is ending; the sockets go with it.
        }
    }

    private static AsynchronousChannelGroup openChannelGroup(String name) {
        try {
            return AsynchronousChannelGroup.withFixedThreadPool(
                    CONNECTION_THREADS, namedThreadFactory(name + "-connection"));
        } catch (IOException e) {
            throw new UncheckedIOException("no channel group can be opened", e);
        }
    }

    private static ThreadFactory namedThreadFactory(String name) {
        AtomicInteger next = new AtomicInteger();
        return task -> {
            Thread thread = new Thread(task, name + "-" + next.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }
}
