package org.elmline.daemon.settings;

/**
 * Settings that concern callers.
 *
 * @param keepSeconds time in seconds for which callers cache the list of entry addresses; a stopping entry serves at
 *     least that long after it has left the list
 * @param defaultTimeoutMillis timeout in milliseconds of a request that states none
 * @param maxTimeoutMillis longest timeout in milliseconds that a request may state
 */
public record CallerSettings(int keepSeconds, long defaultTimeoutMillis, long maxTimeoutMillis) {
    public static final CallerSettings DEFAULT = new CallerSettings(30, 120_000, 3_600_000);
}
