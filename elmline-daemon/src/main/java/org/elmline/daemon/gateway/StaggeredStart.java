package org.elmline.daemon.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.xnio.XnioExecutor;

/** Starts the first item at once and each further one after a pause. Used on the I/O thread only. */
final class StaggeredStart<T> {
    private final XnioExecutor thread;
    private final long pauseMillis;
    private final Consumer<T> start;
    private final Deque<T> waiting = new ArrayDeque<>();
    private final Set<T> added = new HashSet<>();
    private boolean pausing;

    /** @param start starts one item */
    StaggeredStart(XnioExecutor thread, long pauseMillis, Consumer<T> start) {
        this.thread = thread;
        this.pauseMillis = pauseMillis;
        this.start = start;
    }

    /** Starts an item in its turn, unless it was added before. */
    void add(T item) {
        if (!added.add(item)) {
            return;
        }
        waiting.add(item);
        if (!pausing) {
            startNext();
        }
    }

    /** Number of items added and not removed, started or not. */
    int size() {
        return added.size();
    }

    /** Removes an item, which may then be added again. */
    void remove(T item) {
        added.remove(item);
        waiting.remove(item);
    }

    private void startNext() {
        T item = waiting.poll();
        pausing = item != null;
        if (item != null) {
            start.accept(item);
            thread.executeAfter(this::startNext, pauseMillis, TimeUnit.MILLISECONDS);
        }
    }
}
