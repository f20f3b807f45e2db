package org.elmline.daemon.settings;

/**
 * Limits that keep one client from exhausting the resources of a process.
 *
 * @param maxBodyBytes longest request body in bytes; a prompt of a million tokens takes about 6 MB
 * @param maxHeaderBytes longest request head in bytes
 * @param maxConnections maximum number of open connections of callers
 * @param maxConcurrentRequests maximum number of requests in flight
 */
public record LimitSettings(long maxBodyBytes, int maxHeaderBytes, int maxConnections, int maxConcurrentRequests) {
    public static final LimitSettings DEFAULT = new LimitSettings(64L << 20, 32 << 10, 10_000, 4_096);
}
