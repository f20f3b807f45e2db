package org.elmline.core.dispatch;

/**
 * How many requests a backend server in need takes from all entries together.
 *
 * @param spacingMicros microseconds from one request to the next; 0 for a server that names no limit
 */
public record ServerRateLimit(long spacingMicros) {
    public static final ServerRateLimit NONE = new ServerRateLimit(0);

    private static final double MICROS_PER_SECOND = 1e6;

    /**
     * Slowest pace that is kept. A server whose limit is lower, or zero, would else hardly be asked again, and the end of
     * its need would not be seen.
     */
    private static final long MAX_SPACING_MICROS = 4_000_000;

    public ServerRateLimit {
        if (spacingMicros < 0) {
            throw new IllegalArgumentException("negative spacing: " + spacingMicros);
        }
    }

    /** A limit of so many requests a second. */
    public static ServerRateLimit ofPerSecond(double requests) {
        double spacing = MICROS_PER_SECOND / Math.max(requests, 0);
        return new ServerRateLimit((long) Math.max(1, Math.min(MAX_SPACING_MICROS, spacing)));
    }

    public boolean isLimited() {
        return spacingMicros > 0;
    }

    /** Requests a second; infinite without a limit. */
    public double requestsPerSecond() {
        return MICROS_PER_SECOND / spacingMicros;
    }
}
