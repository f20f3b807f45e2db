package org.elmline.core.common;

import java.util.ArrayDeque;
import java.util.Deque;

/** Gathers resources while a process starts and closes them in reverse order, all of them even when one fails. */
public final class Closer implements AutoCloseable {
    private final Deque<AutoCloseable> resources = new ArrayDeque<>();
    private boolean closed;

    /** Takes ownership of a resource; closes it at once when this closer is closed already. */
    public synchronized <T extends AutoCloseable> T register(T resource) {
        if (closed) {
            closeQuietly(resource, null);
            return resource;
        }
        resources.push(resource);
        return resource;
    }

    @Override
    public void close() {
        RuntimeException failure = null;
        for (AutoCloseable next = next(); next != null; next = next()) {
            failure = closeQuietly(next, failure);
        }
        if (failure != null) {
            throw failure;
        }
    }

    private synchronized AutoCloseable next() {
        closed = true;
        return resources.poll();
    }

    private static RuntimeException closeQuietly(AutoCloseable resource, RuntimeException earlier) {
        try {
            resource.close();
            return earlier;
        } catch (Exception e) {
            RuntimeException failure = earlier == null ? new IllegalStateException("closing failed", e) : earlier;
            if (earlier != null) {
                earlier.addSuppressed(e);
            }
            return failure;
        }
    }
}
