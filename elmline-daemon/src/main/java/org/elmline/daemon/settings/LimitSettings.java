package org.elmline.daemon.settings;

/**
 * Bounds that keep one client from taking a whole process.
 *
 * @param maxBodyBytes longest request body in bytes; a prompt of a million tokens takes about 6 MB
 * @param maxHeaderBytes longest request head in bytes
 * @param maxConnections open connections of callers at once
 * @param maxConcurrentRequests requests in flight at once
 */
public record LimitSettings(long maxBodyBytes, int maxHeaderBytes, int maxConnections, int maxConcurrentRequests) {
    public static final LimitSettings DEFAULT = new LimitSettings(64L << 20, 32 << 10, 10_000, 4_096);
}
