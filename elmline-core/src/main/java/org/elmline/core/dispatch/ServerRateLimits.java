package org.elmline.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.elmline.core.common.BackendServerId;

/**
 * The rate limits that backend servers report in their answers, as far as they are known here. Not safe for concurrent
 * use.
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
    public record ReportedLimit(BackendServerId server, ServerRateLimit limit) {}

    /**
     * Records the limit stated in an answer.
     *
     * @param now monotonic time in nanoseconds
     * @return whether the limit of the server changed
     */
    public boolean update(BackendServerId server, ServerRateLimit limit, long now) {
        ObservedLimit before = limitsByServer.get(server);
        if (limit.isLimited()) {
            limitsByServer.remove(server);
            if (limitsByServer.size() >= MAX_SERVERS) {
                limitsByServer.remove(limitsByServer.keySet().iterator().next());
            }
            limitsByServer.put(server, new ObservedLimit(limit, now));
            return recordChange(before == null || !before.limit().equals(limit));
        }
        boolean over = before != null && now - before.observedAtNanos() >= REORDERING_NANOS;
        return recordChange(over && limitsByServer.remove(server) != null);
    }

    private boolean recordChange(boolean news) {
        version += news ? 1 : 0;
        return news;
    }

    /** Increases with each change. */
    long version() {
        return version;
    }

    /** The limit of a server, {@link ServerRateLimit#NONE} if it reports none. */
    public ServerRateLimit limitOf(BackendServerId server) {
        ObservedLimit heard = limitsByServer.get(server);
        return heard == null ? ServerRateLimit.NONE : heard.limit();
    }

    /** All servers that report a limit. */
    public List<ReportedLimit> all() {
        List<ReportedLimit> all = new ArrayList<>();
        limitsByServer.forEach((server, heard) -> all.add(new ReportedLimit(server, heard.limit())));
        return all;
    }

    public boolean isEmpty() {
        return limitsByServer.isEmpty();
    }
}
