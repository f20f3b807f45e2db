package org.elmline.core.routing;

import java.util.List;

import org.elmline.core.common.ServiceName;

/**
 * One rule: calls to this host whose path begins with this prefix go to these services.
 *
 * @param host name in the Host header, lower case, without a port
 * @param pathPrefix begins and ends with a slash
 * @param timeoutMillis longest time a call may be kept waiting
 * @param aimMillis time to the answer, or to a stream's first event, within which the call is of full use
 * @param gapMillis longest pause between two events within which a stream is of full use; 0 when not a stream
 * @param priority rank among routes, 0 is the most urgent
 * @param maxAttempts backend servers that one call may be sent to, at most
 * @param allowsAnonymous whether callers need no key
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
    /** Callers leave a stream after this long without an event, however short its aims. */
    private static final int MIN_EVENT_TIMEOUT_MILLIS = 2_000;

    /** Multiples of the aim and of the allowed pause after which callers leave a stream, if that is longer. */
    private static final int EVENT_TIMEOUT_AIMS = 4;

    private static final int EVENT_TIMEOUT_GAPS = 8;

    public CallRoute {
        weightedServices = List.copyOf(weightedServices);
    }

    /** How long callers wait for a stream's first event, or for the next one, before they leave. */
    public int eventTimeoutMillis() {
        int byAim = Math.max(MIN_EVENT_TIMEOUT_MILLIS, EVENT_TIMEOUT_AIMS * aimMillis);
        return Math.min(timeoutMillis, Math.max(byAim, EVENT_TIMEOUT_GAPS * gapMillis));
    }

    /** Whether a call that may have run can be sent to another backend server. */
    public boolean mayRetry() {
        return kind.mayRetry(isResumable);
    }

    public boolean isStreaming() {
        return kind == CallKind.STREAMING;
    }

    /** The service for a call, drawn by weight; {@code draw} is uniform in [0, 1). */
    public ServiceName chooseService(double draw) {
        double left = draw * totalWeight();
        for (WeightedService each : weightedServices) {
            left -= each.weight();
            if (left < 0) {
                return each.service();
            }
        }
        return weightedServices.get(weightedServices.size() - 1).service();
    }

    /** Sum of all weights; a route whose weights add up to nothing leads nowhere. */
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

    /** Gathers a route; what is not given keeps its default. */
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
