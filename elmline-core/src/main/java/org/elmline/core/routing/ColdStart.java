package org.elmline.core.routing;

/**
 * What the servers of a service take while they are cold.
 *
 * @param millis for how long a server is cold after a start that does not state it, in milliseconds
 * @param requestsPerSecond requests that a cold server takes from all entries together; 0 if its servers are never cold
 */
public record ColdStart(long millis, double requestsPerSecond) {
    /** For a service whose servers are never cold. */
    public static final ColdStart NEVER = new ColdStart(0, 0);

    public ColdStart {
        if (millis < 0 || !(requestsPerSecond >= 0)) {
            throw new IllegalArgumentException("cold start of " + millis + " ms with " + requestsPerSecond + "/s");
        }
    }

    /** Whether a server of the service can be cold. */
    public boolean isPossible() {
        return requestsPerSecond > 0;
    }
}
