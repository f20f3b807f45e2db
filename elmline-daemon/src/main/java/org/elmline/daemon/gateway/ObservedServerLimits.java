package org.elmline.daemon.gateway;

import java.util.List;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.dispatch.ServerRateLimit;
import org.elmline.core.dispatch.ServerRateLimits;
import org.elmline.daemon.log.DecisionLog;

/**
 * The rate limits of servers that this entry has received, with a log line for each change. Used on the I/O thread
 * only.
 */
final class ObservedServerLimits {
    private final ServerRateLimits limits = new ServerRateLimits();
    private final MonotonicClock clock;
    private final DecisionLog log;

    ObservedServerLimits(MonotonicClock clock, DecisionLog log) {
        this.clock = clock;
        this.log = log;
    }

    /**
     * Records a server's rate limit.
     *
     * @param limit null when it could not be read
     * @param source where it came from, for the log
     */
    void record(BackendServerId server, ServerRateLimit limit, String source) {
        if (limit == null) {
            log.line("server limit unreadable").with("server", server).write();
        } else if (limits.update(server, limit, clock.nanos())) {
            log.line("server limit changed")
                    .with("server", server)
                    .with("limited", limit.isLimited())
                    .with("spacingMicros", limit.spacingMicros())
                    .with("by", source)
                    .write();
        }
    }

    boolean isLimited(BackendServerId server) {
        return limits.limitOf(server).isLimited();
    }

    List<ServerRateLimits.ReportedLimit> all() {
        return limits.all();
    }

    /** The underlying table, which the dispatchers on this entry use. */
    ServerRateLimits serverLimits() {
        return limits;
    }
}
