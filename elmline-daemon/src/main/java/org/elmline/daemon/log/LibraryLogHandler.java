package org.elmline.daemon.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes log records of libraries as lines of the decision log, so that a process has one log format and one rate
 * limit.
 */
public final class LibraryLogHandler extends Handler {
    private static final String CONFIG_CLASS_PROPERTY = "java.util.logging.config.class";

    private final DecisionLog log;

    /**
     * Replaces the runtime's own logging configuration, whose formatter would load the formats of all locales for
     * handlers that are removed at once.
     */
    public static final class NoConfiguration {}

    private LibraryLogHandler(DecisionLog log) {
        this.log = log;
    }

    /** Replaces the runtime's handlers; records of libraries below level warning are left out. */
    public static void install(DecisionLog log) {
        System.setProperty(CONFIG_CLASS_PROPERTY, NoConfiguration.class.getName());
        Logger root = Logger.getLogger("");
        for (Handler each : root.getHandlers()) {
            root.removeHandler(each);
        }
        root.setLevel(Level.WARNING);
        Logger.getLogger("org.elmline").setLevel(Level.INFO);
        root.addHandler(new LibraryLogHandler(log));
    }

    @Override
    public void publish(LogRecord line) {
        log.line("library")
                .with("logger", line.getLoggerName())
                .with("level", line.getLevel())
                .with("message", line.getMessage())
                .with("thrown", line.getThrown())
                .write();
    }

    @Override
    public void flush() {
        // The log's writer thread flushes.
    }

    @Override
    public void close() {
        // The owner of the log closes it.
    }
}
