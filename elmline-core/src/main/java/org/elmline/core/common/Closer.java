package org.elmline.core.common;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Collects resources during start-up and closes them in reverse order, continuing with the rest when one fails.
 * Thread-safe.
 */
public final class Closer implements AutoCloseable {
    private final Deque<AutoCloseable> resources = new ArrayDeque<>();
    private boolean closed;

    /** Takes ownership of a resource. Closes it at once if this closer is already closed. */
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
            RuntimeException failure =
                    earlier == null ? new IllegalStateException("closing a resource failed", e) : earlier;
            if (earlier != null) {
                earlier.addSuppressed(e);
            }
            return failure;
        }
    }
}
