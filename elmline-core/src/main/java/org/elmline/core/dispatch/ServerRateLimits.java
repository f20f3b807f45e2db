package org.elmline.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.elmline.core.common.BackendServerId;

/** The limits that backend servers name in their answers, as far as they have been heard of here. */
public final class ServerRateLimits {
    /** An answer without a limit that comes this soon after one with it may have been given before. */
    private static final long REORDERING_NANOS = Duration.ofMillis(500).toNanos();

    /** Servers remembered; more are those of long ago. */
    private static final int MAX_SERVERS = 1_024;

    private final Map<BackendServerId, ObservedLimit> limitsByServer = new LinkedHashMap<>();
    private long version;

    private record ObservedLimit(ServerRateLimit limit, long observedAtNanos) {}

    /** A server and the limit that it names. */
    public record ReportedLimit(BackendServerId server, ServerRateLimit limit) {}

    /**
     * Takes what an answer says.
     *
     * @param now monotonic time in nanoseconds
     * @return whether that is new
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

    /** Grows with each change. */
    long version() {
        return version;
    }

    /** The limit of a server, {@link ServerRateLimit#NONE} where it names none. */
    public ServerRateLimit limitOf(BackendServerId server) {
        ObservedLimit heard = limitsByServer.get(server);
        return heard == null ? ServerRateLimit.NONE : heard.limit();
    }

    /** All that name a limit. */
    public List<ReportedLimit> all() {
        List<ReportedLimit> all = new ArrayList<>();
        limitsByServer.forEach((server, heard) -> all.add(new ReportedLimit(server, heard.limit())));
        return all;
    }

    public boolean isEmpty() {
        return limitsByServer.isEmpty();
    }
}
