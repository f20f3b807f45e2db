package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.common.BackendServerId;

/**
 * Keeps the requests granted by one dispatcher within the rate limits that the servers report. Not safe for concurrent
 * use.
 */
final class RateLimitEnforcer {
    private final ServerRateLimits reportedLimits;
    private final ServerLoads serverLoads;
    private int entryCount = 1;
    private int senderCount = 1;
    private long appliedVersion = -1;

    RateLimitEnforcer(ServerRateLimits limits, ServerLoads loads) {
        this.reportedLimits = limits;
        this.serverLoads = loads;
    }

    void entryCount(int count) {
        entryCount = Math.max(1, count);
    }

    void onServersChanged() {
        appliedVersion = -1;
    }

    void update(BackendServerId server, ServerRateLimit limit, long now) {
        reportedLimits.update(server, limit, now);
    }

    /**
     * Applies limits that have changed since the last call.
     *
     * @param isSoleSender whether all entries send only what this dispatcher grants; if not, each keeps to its part of
     *     a limit
     */
    void applyChanges(boolean isSoleSender, long now) {
        int senders = isSoleSender ? 1 : entryCount;
        if (appliedVersion != reportedLimits.version() || senderCount != senders) {
            appliedVersion = reportedLimits.version();
            senderCount = senders;
            serverLoads.applyLimits(reportedLimits, senders, now);
        }
    }

    /**
     * Servers that may be sent one more request now. A long prompt is prefilled by many servers and takes further
     * requests to each of them, so rate-limited servers get none as long as there are others.
     */
    List<ServerLoad> withinLimits(List<ServerLoad> usable, boolean isLong, long now) {
        if (reportedLimits.isEmpty()) {
            return usable;
        }
        List<ServerLoad> ready = new ArrayList<>(usable.size());
        List<ServerLoad> unlimited = new ArrayList<>(usable.size());
        for (ServerLoad each : usable) {
            if (!each.requestPacer().isLimited()) {
                unlimited.add(each);
            }
            if (each.requestPacer().canSend(now)) {
                ready.add(each);
            }
        }
        return isLong && !unlimited.isEmpty() ? unlimited : ready;
    }

    /** Milliseconds until the limits allow one more request after so many; 0 if no server reports a limit. */
    double waitMillis(List<ServerLoad> usable, int ahead, long now) {
        if (reportedLimits.isEmpty()) {
            return 0;
        }
        double requestsPerMilli = 0;
        double shortestWaitMillis = Double.MAX_VALUE;
        for (ServerLoad each : usable) {
            requestsPerMilli += each.requestPacer().requestsPerMilli();
            shortestWaitMillis =
                    Math.min(shortestWaitMillis, each.requestPacer().waitMillis(now));
        }
        return shortestWaitMillis + ahead / requestsPerMilli;
    }
}
