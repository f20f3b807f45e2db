package org.elmline.core.routing;

/**
 * Limits on the size and time of a caller's requests.
 *
 * @param maxHeaderBytes largest size of request line and headers together
 * @param maxBodyBytes largest size of the body
 * @param headerTimeoutMillis milliseconds within which the headers must arrive
 * @param idleTimeoutMillis milliseconds that a connection may stay open without a request
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {
    public static final CallerLimits DEFAULT = new CallerLimits(64 * 1024, 64L * 1024 * 1024, 30_000, 60_000);

    /** The same limits with another one on bodies. */
    public CallerLimits withMaxBodyBytes(long bytes) {
        return new CallerLimits(maxHeaderBytes, bytes, headerTimeoutMillis, idleTimeoutMillis);
    }

    /** Whether all limits are equal; false for null. */
    public boolean sameAs(CallerLimits other) {
        return other != null
                && maxHeaderBytes == other.maxHeaderBytes
                && maxBodyBytes == other.maxBodyBytes
                && headerTimeoutMillis == other.headerTimeoutMillis
                && idleTimeoutMillis == other.idleTimeoutMillis;
    }
}
