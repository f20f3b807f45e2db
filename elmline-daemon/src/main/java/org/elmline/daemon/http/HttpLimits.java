package org.elmline.daemon.http;

/**
 * Bounds of one HTTP port.
 *
 * @param maxBodyBytes longest body accepted
 * @param maxHeaderBytes longest request line and headers together
 * @param maxConnections connections open at once; one more waits until another closes
 * @param idleTimeoutMillis milliseconds after which an idle connection is closed
 * @param readTimeoutMillis milliseconds that headers or a hanging body may take
 */
public record HttpLimits(
        long maxBodyBytes, int maxHeaderBytes, int maxConnections, int idleTimeoutMillis, int readTimeoutMillis) {
    public static final HttpLimits DEFAULT = new HttpLimits(64L * 1024 * 1024, 64 * 1024, 1_024, 60_000, 30_000);
}
