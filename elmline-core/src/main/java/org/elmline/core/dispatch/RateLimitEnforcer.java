package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.common.BackendServerId;

/** Keeps what the servers of one dispatcher are sent within the limits that they name. */
final class RateLimitEnforcer {
    private final ServerRateLimits reportedLimits;
    private final ServerLoads serverLoads;
    private int entryCount = 1;
    private int senderCount = 1;
    private long appliedVersion = -1;

    RateLimitEnforcer(ServerRateLimits named, ServerLoads accounts) {
        this.reportedLimits = named;
        this.serverLoads = accounts;
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
     * Takes up what has changed.
     *
     * @param alone whether all entries send on this dispatcher's word only; else each keeps to its part of a limit
     */
    void applyChanges(boolean alone, long now) {
        int parts = alone ? 1 : entryCount;
        if (appliedVersion != reportedLimits.version() || senderCount != parts) {
            appliedVersion = reportedLimits.version();
            senderCount = parts;
            serverLoads.applyLimits(reportedLimits, parts, now);
        }
    }

    /**
     * Servers that may be sent one more request now. A long prompt is read by many servers and has orders beside it, so it
     * is kept from those in need as long as there are others.
     */
    List<ServerLoad> withinLimits(List<ServerLoad> usable, boolean isLong, long now) {
        if (reportedLimits.isEmpty()) {
            return usable;
        }
        List<ServerLoad> within = new ArrayList<>(usable.size());
        List<ServerLoad> unlimited = new ArrayList<>(usable.size());
        for (ServerLoad each : usable) {
            if (!each.requestPacer().isLimited()) {
                unlimited.add(each);
            }
            if (each.requestPacer().canSend(now)) {
                within.add(each);
            }
        }
        return isLong && !unlimited.isEmpty() ? unlimited : within;
    }

    /** Milliseconds until the limits let one more be sent after so many; 0 where a server names none. */
    double waitMillis(List<ServerLoad> usable, int ahead, long now) {
        if (reportedLimits.isEmpty()) {
            return 0;
        }
        double perMilli = 0;
        double first = Double.MAX_VALUE;
        for (ServerLoad each : usable) {
            perMilli += each.requestPacer().requestsPerMilli();
            first = Math.min(first, each.requestPacer().waitMillis(now));
        }
        return first + ahead / perMilli;
    }
}
