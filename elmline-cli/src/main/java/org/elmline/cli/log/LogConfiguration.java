package org.elmline.cli.log;

import ch.qos.logback.classic.LoggerContext;
import org.elmline.daemon.settings.ControlSettings;
import org.elmline.daemon.settings.EntrySettings;
import org.elmline.daemon.settings.Settings;
import org.elmline.daemon.settings.StandinEngineSettings;
import org.elmline.daemon.settings.StandinServiceSettings;
import org.slf4j.LoggerFactory;

/** Applies a process's settings to its log lines. */
public final class LogConfiguration {
    private LogConfiguration() {}

    /** Sets the level, and adds the process's name and role to every line. */
    public static void apply(Settings settings) {
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            context.putProperty("host", processName(settings));
            context.putProperty("role", settings.role().settingValue());
            JsonLogging.setLevel(context, settings.log().level());
        }
    }

    private static String processName(Settings settings) {
        if (settings instanceof EntrySettings entry) {
            return entry.host().value();
        }
        if (settings instanceof ControlSettings control) {
            return control.host().value();
        }
        if (settings instanceof StandinEngineSettings engine) {
            return engine.id().value();
        }
        return ((StandinServiceSettings) settings).id().value();
    }
}
