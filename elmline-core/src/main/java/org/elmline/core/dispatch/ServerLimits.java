package org.elmline.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.elmline.core.common.BackendServerId;

/** The limits that backend servers name in their answers, as far as they have been heard of here. */
public final class ServerLimits {
    /** An answer without a limit that comes this soon after one with it may have been given before. */
    private static final long OVERTAKEN_NANOS = Duration.ofMillis(500).toNanos();

    /** Servers remembered; more are those of long ago. */
    private static final int MAX_SERVERS = 1_024;

    private final Map<BackendServerId, Heard> limited = new LinkedHashMap<>();
    private long version;

    private record Heard(ServerLimit limit, long at) {}

    /** A server and the limit that it names. */
    public record Named(BackendServerId server, ServerLimit limit) {}

    /**
     * Takes what an answer says.
     *
     * @param now monotonic time in nanoseconds
     * @return whether that is new
     */
    public boolean learn(BackendServerId server, ServerLimit limit, long now) {
        Heard before = limited.get(server);
        if (limit.isLimited()) {
            limited.remove(server);
            if (limited.size() >= MAX_SERVERS) {
                limited.remove(limited.keySet().iterator().next());
            }
            limited.put(server, new Heard(limit, now));
            return changed(before == null || !before.limit().equals(limit));
        }
        boolean over = before != null && now - before.at() >= OVERTAKEN_NANOS;
        return changed(over && limited.remove(server) != null);
    }

    private boolean changed(boolean news) {
        version += news ? 1 : 0;
        return news;
    }

    /** Grows with each change. */
    long version() {
        return version;
    }

    /** The limit of a server, {@link ServerLimit#NONE} where it names none. */
    public ServerLimit of(BackendServerId server) {
        Heard heard = limited.get(server);
        return heard == null ? ServerLimit.NONE : heard.limit();
    }

    /** All that name a limit. */
    public List<Named> all() {
        List<Named> all = new ArrayList<>();
        limited.forEach((server, heard) -> all.add(new Named(server, heard.limit())));
        return all;
    }

    public boolean isEmpty() {
        return limited.isEmpty();
    }
}
