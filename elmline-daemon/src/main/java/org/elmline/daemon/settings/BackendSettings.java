package org.elmline.daemon.settings;

/**
 * Announcements of backend servers.
 *
 * @param announceMillis interval in milliseconds at which a backend server is requested to announce itself
 * @param leaseMillis time in milliseconds after an announcement, on the monotonic clock, for which the backend server
 *     still receives work
 */
public record BackendSettings(long announceMillis, long leaseMillis) {
    public static final BackendSettings DEFAULT = new BackendSettings(1_000, 3_000);
}
