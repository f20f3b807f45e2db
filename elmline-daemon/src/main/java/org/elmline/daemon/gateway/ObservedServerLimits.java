package org.elmline.daemon.gateway;

import java.util.List;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.dispatch.ServerRateLimit;
import org.elmline.core.dispatch.ServerRateLimits;
import org.elmline.daemon.log.DecisionLog;

/** The limits that this entry has heard of, with a line for each change. Used on the I/O thread only. */
final class ObservedServerLimits {
    private final ServerRateLimits limits = new ServerRateLimits();
    private final MonotonicClock clock;
    private final DecisionLog log;

    ObservedServerLimits(MonotonicClock clock, DecisionLog log) {
        this.clock = clock;
        this.log = log;
    }

    /**
     * Takes what a server has said of the requests that it takes.
     *
     * @param limit null when that can't be understood
     * @param source where it was heard, for the log
     */
    void record(BackendServerId server, ServerRateLimit limit, String source) {
        if (limit == null) {
            log.line("server limit not understood").with("server", server).write();
        } else if (limits.update(server, limit, clock.nanos())) {
            log.line("server limit")
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

    /** The table behind it, which dispatchers here decide by. */
    ServerRateLimits serverLimits() {
        return limits;
    }
}
