package org.elmline.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.elmline.core.common.BackendServerId;

/**
 * The rate limits that backend servers report in their answers, as far as received here. Not safe for concurrent use.
 */
public final class ServerRateLimits {
    /** An answer without a limit that arrives this soon after one with a limit may have been generated before it. */
    private static final long REORDERING_NANOS = Duration.ofMillis(500).toNanos();

    /** Most servers kept; beyond it, the least recently reported limit is evicted. */
    private static final int MAX_SERVERS = 1_024;

    private final Map<BackendServerId, ObservedLimit> limitsByServer = new LinkedHashMap<>();
    private long version;

    private record ObservedLimit(ServerRateLimit limit, long observedAtNanos) {}

    /** A server and the limit that it reports. */
    public record ReportedLimit(BackendServerId server, ServerRateLimit limit) {
        public ReportedLimit {
            if (server == null) {
                throw new IllegalArgumentException("a reported limit needs its server");
            }
        }
    }

    /**
     * Records the limit stated in an answer.
     *
     * @param now monotonic time in nanoseconds
     * @return whether the limit of the server changed
     */
    public boolean update(BackendServerId server, ServerRateLimit limit, long now) {
        ObservedLimit previous = limitsByServer.get(server);
        if (limit.isLimited()) {
            limitsByServer.remove(server);
            if (limitsByServer.size() >= MAX_SERVERS) {
                limitsByServer.remove(limitsByServer.keySet().iterator().next());
            }
            limitsByServer.put(server, new ObservedLimit(limit, now));
            return recordChange(previous == null || !previous.limit().equals(limit));
        }
        boolean lifted = previous != null && now - previous.observedAtNanos() >= REORDERING_NANOS;
        return recordChange(lifted && limitsByServer.remove(server) != null);
    }

    private boolean recordChange(boolean changed) {
        version += changed ? 1 : 0;
        return changed;
    }

    /** Increases with each change. */
    long version() {
        return version;
    }

    /** The limit of a server, {@link ServerRateLimit#NONE} if it reports none. */
    public ServerRateLimit limitOf(BackendServerId server) {
        ObservedLimit observed = limitsByServer.get(server);
        return observed == null ? ServerRateLimit.NONE : observed.limit();
    }

    /** All servers that report a limit. */
    public List<ReportedLimit> all() {
        List<ReportedLimit> all = new ArrayList<>();
        limitsByServer.forEach((server, observed) -> all.add(new ReportedLimit(server, observed.limit())));
        return all;
    }

    public boolean isEmpty() {
        return limitsByServer.isEmpty();
    }
}
