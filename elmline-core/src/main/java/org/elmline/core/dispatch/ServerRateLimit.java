package org.elmline.core.dispatch;

/**
 * How many requests an overloaded backend server accepts from all entries together.
 *
 * @param spacingMicros microseconds from one request to the next; 0 for a server that reports no limit
 */
public record ServerRateLimit(long spacingMicros) {
    public static final ServerRateLimit NONE = new ServerRateLimit(0);

    private static final double MICROS_PER_SECOND = 1e6;

    /**
     * Slowest pace. A server whose limit is lower, or zero, would otherwise hardly get requests, and the end of its
     * overload would not be detected, as limits are reported in answers.
     */
    private static final long MAX_SPACING_MICROS = 4_000_000;

    public ServerRateLimit {
        if (spacingMicros < 0) {
            throw new IllegalArgumentException("negative spacing: " + spacingMicros);
        }
    }

    /** A limit of so many requests per second, at least one in four seconds. */
    public static ServerRateLimit ofPerSecond(double requests) {
        double spacing = MICROS_PER_SECOND / Math.max(requests, 0);
        return new ServerRateLimit((long) Math.max(1, Math.min(MAX_SPACING_MICROS, spacing)));
    }

    public boolean isLimited() {
        return spacingMicros > 0;
    }

    /** Requests per second; infinite without a limit. */
    public double requestsPerSecond() {
        return MICROS_PER_SECOND / spacingMicros;
    }
}
