package org.elmline.daemon.caller;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.elmline.core.engine.StreamEvent;
import org.elmline.core.engine.StreamListener;

/**
 * Passes events from an engine's stream to the worker that serves the caller. Bounded: a caller that reads slowly
 * blocks the engine's stream, instead of filling this process's memory. Thread-safe.
 */
final class StreamEventQueue implements StreamListener {
    private static final int CAPACITY = 1024;
    private static final long OFFER_TIMEOUT_MILLIS = 200;

    private final BlockingQueue<StreamEvent> events = new LinkedBlockingQueue<>(CAPACITY);
    private volatile boolean closed;

    @Override
    public void onEvent(StreamEvent event) {
        try {
            while (!closed && !events.offer(event, OFFER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                // The queue is full since the caller reads slowly.
                continue;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The next event, or null when none came in time. */
    StreamEvent poll(long millis) throws InterruptedException {
        return events.poll(millis, TimeUnit.MILLISECONDS);
    }

    /** Ends reading: a stream that still delivers events must not block on the full queue. */
    void close() {
        closed = true;
    }
}
