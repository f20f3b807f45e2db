package org.elmline.daemon.caller;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.elmline.core.engine.StreamEvent;
import org.elmline.core.engine.StreamListener;

/**
 * Carries events from an engine's stream to the caller's worker. Bounded: a caller that reads slowly makes the engine's
 * stream wait, in place of filling this process's memory.
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
                // The caller reads slowly.
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

    /** Nobody reads any more; a stream that still brings events must not wait for it. */
    void close() {
        closed = true;
    }
}
