package org.elmline.daemon.settings;

/**
 * How backend servers stay known.
 *
 * @param announceMillis how often a backend server is asked to announce itself, in milliseconds
 * @param leaseMillis how long after an announcement it still gets work, in milliseconds, on the monotonic clock
 */
public record BackendSettings(long announceMillis, long leaseMillis) {
    public static final BackendSettings DEFAULT = new BackendSettings(1_000, 3_000);
}
