package org.elmline.cli.log;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.core.spi.ContextAwareBase;
import org.elmline.daemon.settings.LogLevel;

/**
 * Configures Logback, which finds it by {@link java.util.ServiceLoader}, to write JSON to the standard error from the
 * first line on.
 */
public final class JsonLoggingConfigurator extends ContextAwareBase implements Configurator {
    @Override
    public ExecutionStatus configure(LoggerContext context) {
        JsonLogging.install(context, System.err, LogLevel.INFO);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
