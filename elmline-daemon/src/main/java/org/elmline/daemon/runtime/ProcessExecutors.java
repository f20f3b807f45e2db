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
 * The executors of one process. Short handlers, blocking streams and the completions of connections run in three
 * separate pools, so that a slow reader of one kind can't block the tasks of another kind. Thread-safe.
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

    /**
     * @param name prefix of the thread names
     * @param maxStreams limit on concurrent blocking streams; a further one is rejected, never queued
     */
    public ProcessExecutors(String name, int maxStreams) {
        handlers = Executors.newFixedThreadPool(HANDLER_THREADS, namedThreadFactory(name + "-handler"));
        streams = new ThreadPoolExecutor(
                0,
                maxStreams,
                THREAD_IDLE_SECONDS,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                namedThreadFactory(name + "-stream"));
        timer = new TaskTimer(TIMER_THREADS, namedThreadFactory(name + "-timer"));
        timer.setRemoveOnCancelPolicy(true);
        channelGroup = openChannelGroup(name);
    }

    /** Returns the executor of short tasks, which must not wait for another process. */
    public ExecutorService handlers() {
        return handlers;
    }

    /**
     * Returns the executor of tasks that block: one request or one engine stream each. Rejects a task when all its
     * threads are busy.
     */
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
            // The process ends, and the operating system closes its sockets.
        }
    }

    private static AsynchronousChannelGroup openChannelGroup(String name) {
        try {
            return AsynchronousChannelGroup.withFixedThreadPool(
                    CONNECTION_THREADS, namedThreadFactory(name + "-connection"));
        } catch (IOException e) {
            throw new UncheckedIOException("failed to open the channel group for connections", e);
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
