package org.elmline.cli.log;

import java.io.OutputStream;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.OutputStreamAppender;
import net.logstash.logback.encoder.LogstashEncoder;
import org.elmline.daemon.settings.LogLevel;

/**
 * Writes log lines as JSON, one object a line. elmline's own lines are written from the given level on, those of
 * libraries from warnings on.
 */
final class JsonLogging {
    private static final String OWN_LOGGER = "org.elmline";

    private JsonLogging() {}

    /** Writes all lines of the context to the stream, and to no other appender. */
    static void install(LoggerContext context, OutputStream out, LogLevel level) {
        LogstashEncoder encoder = new LogstashEncoder();
        encoder.setContext(context);
        encoder.setVersion(null);
        encoder.start();
        OutputStreamAppender<ILoggingEvent> appender = new OutputStreamAppender<>();
        appender.setContext(context);
        appender.setEncoder(encoder);
        appender.setOutputStream(out);
        appender.start();
        Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.detachAndStopAllAppenders();
        root.addAppender(appender);
        root.setLevel(Level.WARN);
        setLevel(context, level);
    }

    static void setLevel(LoggerContext context, LogLevel level) {
        context.getLogger(OWN_LOGGER).setLevel(Level.valueOf(level.name()));
    }
}
