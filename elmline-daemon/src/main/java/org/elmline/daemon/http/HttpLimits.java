package org.elmline.daemon.http;

/**
 * Limits of one HTTP port.
 *
 * @param maxBodyBytes longest body accepted, in bytes
 * @param maxHeaderBytes longest request line and headers together, in bytes
 * @param maxConnections maximum number of open connections; one more waits until another closes
 * @param idleTimeoutMillis milliseconds after which an idle connection is closed
 * @param readTimeoutMillis milliseconds within which the headers, or the next bytes of a body, must arrive
 */
public record HttpLimits(
        long maxBodyBytes, int maxHeaderBytes, int maxConnections, int idleTimeoutMillis, int readTimeoutMillis) {
    public static final HttpLimits DEFAULT = new HttpLimits(64L * 1024 * 1024, 64 * 1024, 1_024, 60_000, 30_000);
}
