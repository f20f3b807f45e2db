package org.elmline.daemon.settings;

/**
 * The time line that each process keeps in memory.
 *
 * @param events number of events kept; beyond it the oldest is overwritten and counted as dropped
 */
public record TimelineSettings(int events) {
    public static final TimelineSettings DEFAULT = new TimelineSettings(65_536);
}
