package org.elmline.daemon.log;

import java.util.Map;

import org.jboss.logging.Logger;
import org.jboss.logging.LoggerProvider;

/**
 * Passes the log records of libraries and of this product's lower modules to {@link LibraryLogHandler} without the
 * runtime's own logging, whose set-up is a considerable part of a process's start. Found by {@code ServiceLoader};
 * contexts of threads are not supported, as the decision log has none.
 */
public final class LibraryLoggerProvider implements LoggerProvider {
    @Override
    @SuppressWarnings("checkstyle:RegexpSingleline")
    public Logger getLogger(String name) {
        return new LibraryLogger(name);
    }

    @Override
    public void clearMdc() {
        // No contexts are kept.
    }

    @Override
    public Object putMdc(String key, Object value) {
        return null;
    }

    @Override
    @SuppressWarnings("checkstyle:RegexpSingleline")
    public Object getMdc(String key) {
        return null;
    }

    @Override
    public void removeMdc(String key) {
        // No contexts are kept.
    }

    @Override
    @SuppressWarnings("checkstyle:RegexpSingleline")
    public Map<String, Object> getMdcMap() {
        return Map.of();
    }

    @Override
    public void clearNdc() {
        // No contexts are kept.
    }

    @Override
    @SuppressWarnings("checkstyle:RegexpSingleline")
    public String getNdc() {
        return "";
    }

    @Override
    @SuppressWarnings("checkstyle:RegexpSingleline")
    public int getNdcDepth() {
        return 0;
    }

    @Override
    public String popNdc() {
        return "";
    }

    @Override
    public String peekNdc() {
        return "";
    }

    @Override
    public void pushNdc(String message) {
        // No contexts are kept.
    }

    @Override
    public void setNdcMaxDepth(int maxDepth) {
        // No contexts are kept.
    }
}
