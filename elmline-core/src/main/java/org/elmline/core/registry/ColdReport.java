package org.elmline.core.registry;

/**
 * A report of how long a backend server stays cold, as of the moment at which the report is sent.
 *
 * @param stated whether the server states the time itself
 * @param millis if stated, milliseconds until the server is warm, 0 for a warm one; otherwise milliseconds since this
 *     start of the server was first registered, from which the cold time of its service is counted
 */
public record ColdReport(boolean stated, long millis) {
    /** A server that is warm. */
    public static final ColdReport WARM = new ColdReport(true, 0);

    /** A start of a server that states no time, registered now. */
    public static final ColdReport UNSTATED = new ColdReport(false, 0);

    public ColdReport {
        if (millis < 0) {
            throw new IllegalArgumentException("negative time: " + millis);
        }
    }

    /** A report of a server that stays cold for so many milliseconds; it is warm if the value is not positive. */
    public static ColdReport ofMillisLeft(long millis) {
        return new ColdReport(true, Math.max(0, millis));
    }
}
