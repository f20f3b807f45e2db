package org.elmline.daemon.settings;

/** Which log lines are written. */
public record LogSettings(LogLevel level) {
    public static final LogSettings DEFAULT = new LogSettings(LogLevel.INFO);
}
