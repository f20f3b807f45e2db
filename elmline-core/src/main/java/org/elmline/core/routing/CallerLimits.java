package org.elmline.core.routing;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maxHeaderBytes longest request line and headers together
 * @param maxBodyBytes longest body
 * @param headerTimeoutMillis milliseconds that the headers may take to arrive
 * @param idleTimeoutMillis milliseconds that a connection may stay open without a request
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {
    public static final CallerLimits DEFAULT = new CallerLimits(64 * 1024, 64L * 1024 * 1024, 30_000, 60_000);

    /** Whether both allow the same. */
    public boolean sameAs(CallerLimits other) {
        return other != null
                && maxHeaderBytes == other.maxHeaderBytes
                && maxBodyBytes == other.maxBodyBytes
                && headerTimeoutMillis == other.headerTimeoutMillis
                && idleTimeoutMillis == other.idleTimeoutMillis;
    }
}
