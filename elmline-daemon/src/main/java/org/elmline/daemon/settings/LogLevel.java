package org.elmline.daemon.settings;

/** Least severe level that is written; at INFO there is one line for each change of state. */
public enum LogLevel {
    ERROR,
    WARN,
    INFO,
    DEBUG
}
