package org.elmline.core.routing;

import java.util.List;

import org.elmline.core.common.ServiceName;

/**
 * A routing rule: calls to this host whose path begins with this prefix go to these services. Immutable.
 *
 * @param host name in the Host header, lower case, without a port
 * @param pathPrefix begins and ends with a slash
 * @param weightedServices services that calls are distributed to by weight
 * @param timeoutMillis longest time that a call may take
 * @param aimMillis target time to the answer, or to a stream's first event; a later answer has less value to callers
 * @param gapMillis target for the longest pause between two events of a stream, likewise; 0 if not a stream
 * @param priority priority among routes; 0 is the most urgent
 * @param maxAttempts largest number of backend servers that one call may be sent to
 * @param allowsAnonymous whether callers may call without a key
 * @param isResumable whether another run may continue a broken stream after its last event
 */
public record CallRoute(
        String name,
        String host,
        String pathPrefix,
        CallKind kind,
        List<WeightedService> weightedServices,
        int timeoutMillis,
        int aimMillis,
        int gapMillis,
        int priority,
        int maxAttempts,
        boolean allowsAnonymous,
        boolean isResumable) {
    /** Lower bound of the event timeout, however short the targets of the route. */
    private static final int MIN_EVENT_TIMEOUT_MILLIS = 2_000;

    /** The event timeout is at least this multiple of the target time to the first event. */
    private static final int EVENT_TIMEOUT_AIMS = 4;

    /** The event timeout is at least this multiple of the target pause between events. */
    private static final int EVENT_TIMEOUT_GAPS = 8;

    public CallRoute {
        weightedServices = List.copyOf(weightedServices);
    }

    /**
     * Time after which callers cancel a stream that has sent no first event, or no next one; never more than {@code
     * timeoutMillis}.
     */
    public int eventTimeoutMillis() {
        int byAim = Math.max(MIN_EVENT_TIMEOUT_MILLIS, EVENT_TIMEOUT_AIMS * aimMillis);
        return Math.min(timeoutMillis, Math.max(byAim, EVENT_TIMEOUT_GAPS * gapMillis));
    }

    /** Whether a call that may have run may be sent to another backend server. */
    public boolean mayRetry() {
        return kind.mayRetry(isResumable);
    }

    public boolean isStreaming() {
        return kind == CallKind.STREAMING;
    }

    /** Chooses the service for a call by weight; {@code draw} is a uniform random number in [0, 1). */
    public ServiceName chooseService(double draw) {
        double remaining = draw * totalWeight();
        for (WeightedService each : weightedServices) {
            remaining -= each.weight();
            if (remaining < 0) {
                return each.service();
            }
        }
        return weightedServices.get(weightedServices.size() - 1).service();
    }

    /** Sum of all weights; {@link RoutingTable.Builder#build} rejects a route with a sum of 0. */
    public long totalWeight() {
        long total = 0;
        for (WeightedService each : weightedServices) {
            total += each.weight();
        }
        return total;
    }

    public static Builder builder() {
        return new Builder();
    }

    /** Builds a route; values that are not set have defaults. */
    public static final class Builder {
        private String name = "";
        private String host = "";
        private String pathPrefix = "/";
        private CallKind kind = CallKind.NOT_IDEMPOTENT;
        private List<WeightedService> weightedServices = List.of();
        private int timeoutMillis = 10_000;
        private int aimMillis = 1_000;
        private int gapMillis;
        private int priority;
        private int maxAttempts = 1;
        private boolean allowsAnonymous;
        private boolean isResumable;

        private Builder() {}

        public Builder name(String value) {
            name = value;
            return this;
        }

        public Builder hostAndPath(String hostName, String prefix) {
            host = hostName;
            pathPrefix = prefix;
            return this;
        }

        public Builder kind(CallKind value) {
            kind = value;
            return this;
        }

        public Builder weightedServices(List<WeightedService> value) {
            weightedServices = value;
            return this;
        }

        public Builder timeoutMillis(int value) {
            timeoutMillis = value;
            return this;
        }

        public Builder aimMillis(int value) {
            aimMillis = value;
            return this;
        }

        public Builder gapMillis(int value) {
            gapMillis = value;
            return this;
        }

        public Builder priority(int value) {
            priority = value;
            return this;
        }

        public Builder maxAttempts(int value) {
            maxAttempts = value;
            return this;
        }

        public Builder allowsAnonymous(boolean value) {
            allowsAnonymous = value;
            return this;
        }

        public Builder isResumable(boolean value) {
            isResumable = value;
            return this;
        }

        public CallRoute build() {
            return new CallRoute(
                    name,
                    host,
                    pathPrefix,
                    kind,
                    weightedServices,
                    timeoutMillis,
                    aimMillis,
                    gapMillis,
                    priority,
                    maxAttempts,
                    allowsAnonymous,
                    isResumable);
        }
    }
}
