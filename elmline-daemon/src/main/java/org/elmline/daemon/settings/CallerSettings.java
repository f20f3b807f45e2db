package org.elmline.daemon.settings;

/**
 * What callers are told and allowed.
 *
 * @param keepSeconds how long callers keep the list of entry addresses, in seconds; a stopping entry serves at least
 *     that long after it has left the list
 * @param defaultTimeoutMillis time limit of a request that names none, in milliseconds
 * @param maxTimeoutMillis longest time limit a request may name, in milliseconds
 */
public record CallerSettings(int keepSeconds, long defaultTimeoutMillis, long maxTimeoutMillis) {
    public static final CallerSettings DEFAULT = new CallerSettings(30, 120_000, 3_600_000);
}
