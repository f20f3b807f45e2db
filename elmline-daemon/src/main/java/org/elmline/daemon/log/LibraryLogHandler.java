package org.elmline.daemon.log;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;

/**
 * Writes log records of libraries as lines of the decision log, so that a process has one log format and one rate
 * limit. Records reach it through {@link LibraryLogger} or, from libraries that use the runtime's own logging, through
 * a handler that is installed when the first of them does.
 */
public final class LibraryLogHandler extends Handler {
    private static final String CONFIG_CLASS_PROPERTY = "java.util.logging.config.class";

    private static volatile DecisionLog target;
    private static volatile Consumer<Throwable> thrownListener = thrown -> {};

    private static final String CONFIGURATION =
            "handlers=" + LibraryLogHandler.class.getName() + "\n.level=WARNING\norg.elmline.level=INFO\n";

    /**
     * Replaces the runtime's own logging configuration. The runtime creates an instance when its logging is first used;
     * a process that never uses it saves the time for setting it up.
     */
    public static final class Configuration {
        public Configuration() throws IOException {
            LogManager.getLogManager()
                    .readConfiguration(new ByteArrayInputStream(CONFIGURATION.getBytes(StandardCharsets.ISO_8859_1)));
        }
    }

    /** Sends the records of all libraries to this log from now on. Must be called before any library logs. */
    public static void install(DecisionLog log) {
        target = log;
        System.setProperty(CONFIG_CLASS_PROPERTY, Configuration.class.getName());
    }

    /** Passes what libraries catch and log to this listener from now on. */
    public static void onThrown(Consumer<Throwable> listener) {
        thrownListener = listener;
    }

    /** Writes one record; it is dropped when no log was installed. */
    static void write(String logger, String level, String message, Throwable thrown) {
        try {
            writeLine(logger, level, message, thrown);
        } finally {
            if (thrown != null) {
                thrownListener.accept(thrown);
            }
        }
    }

    private static void writeLine(String logger, String level, String message, Throwable thrown) {
        DecisionLog log = target;
        if (log == null) {
            return;
        }
        log.line("library")
                .with("logger", logger)
                .with("level", level)
                .with("message", message)
                .with("thrown", thrown)
                .write();
    }

    @Override
    public void publish(LogRecord line) {
        write(line.getLoggerName(), line.getLevel().getName(), line.getMessage(), line.getThrown());
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
