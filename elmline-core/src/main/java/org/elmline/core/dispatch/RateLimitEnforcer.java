package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;

/**
 * Keeps the requests granted by one dispatcher within the rate limits that the servers report, and within the rate that
 * cold servers take. Not safe for concurrent use.
 */
final class RateLimitEnforcer {
    /** Requests to a helper that holds memory: the reservation, the prefill and the release; renewals come on top. */
    private static final int REQUESTS_OF_RESERVING_HELPER = 3;

    private final ServerRateLimits reportedLimits;
    private final ServerLoads serverLoads;
    private final ColdServerLimits coldLimits = new ColdServerLimits();
    private int entryCount = 1;
    private int senderCount = 1;
    private long appliedVersion = -1;

    RateLimitEnforcer(ServerRateLimits limits, ServerLoads loads) {
        this.reportedLimits = limits;
        this.serverLoads = loads;
    }

    /** The limits of cold servers. */
    ColdServerLimits coldLimits() {
        return coldLimits;
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
        coldLimits.chargeRenewals(serverLoads, now);
    }

    /** The servers to use for a call now; empty when none may be used or waiting is better. */
    Optional<PlacementPlan> plan(
            Placement placement, DispatchCall call, List<ServerLoad> usable, boolean partialView, long now) {
        List<ServerLoad> ready = withinLimits(usable, call.host(), placement.isLong(call, usable), now);
        return coldLimits.isEmpty()
                ? placement.plan(call, ready, partialView, now)
                : WarmServerPreference.plan(placement, call, ready, coldLimits, partialView, now);
    }

    /**
     * Servers that may be sent one more request now. A long prompt is prefilled by many servers and takes further
     * requests to each of them, so rate-limited and cold servers get none as long as there are others.
     */
    private List<ServerLoad> withinLimits(List<ServerLoad> usable, HostId entry, boolean isLong, long now) {
        if (reportedLimits.isEmpty() && coldLimits.isEmpty()) {
            return usable;
        }
        List<ServerLoad> ready = new ArrayList<>(usable.size());
        List<ServerLoad> unlimited = new ArrayList<>(usable.size());
        for (ServerLoad each : usable) {
            BackendServerId server = each.registration().id();
            boolean cold = coldLimits.isCold(server, now);
            if (!each.requestPacer().isLimited() && !cold) {
                unlimited.add(each);
            }
            // The requests to helpers are not counted in an entry's share.
            boolean excluded = isLong && cold && coldLimits.isShared();
            if (!excluded && each.requestPacer().canSend(now) && coldLimits.canSend(server, entry, now)) {
                ready.add(each);
            }
        }
        return isLong && !unlimited.isEmpty() ? unlimited : ready;
    }

    /** Whether a call can't be placed only because its entry has no share of the cold servers now. */
    boolean isWithoutShare(DispatchCall call, List<ServerLoad> usable, long now) {
        return !coldLimits.isEmpty()
                && coldLimits.isShared()
                && withinLimits(usable, call.host(), false, now).isEmpty();
    }

    /** Counts the requests that a granted call causes. */
    void recordGrant(DispatchCall call, PlacementPlan plan, List<ServerLoad> usable, long now) {
        for (int i = 0; i < plan.members().size(); i++) {
            ServerLoad member = plan.members().get(i);
            boolean reserves = i > 0 && plan.memoryTokens().get(i) > 0;
            member.requestPacer().recordSend(now);
            coldLimits.recordSends(
                    member.registration().id(), call.host(), reserves ? REQUESTS_OF_RESERVING_HELPER : 1, now);
        }
        coldLimits.countPassedOver(usable, plan.members(), now);
    }

    /** Counts a request of an entry that another dispatcher has granted. */
    void recordRemoteSend(ServerLoad server, HostId entry, long now) {
        server.requestPacer().recordSend(now);
        coldLimits.recordSends(server.registration().id(), entry, 1, now);
    }

    /**
     * Predicted milliseconds in which the servers do some work: at the rate that cold servers take now, or after all of
     * them are warm, whichever is sooner.
     *
     * @param workMillis work in milliseconds of one slot
     * @param serviceMillis mean work of a call
     */
    double workMillis(List<ServerLoad> usable, double workMillis, double serviceMillis, long now) {
        double allSlots = 0;
        double slots = 0;
        double allWarmMillis = 0;
        for (ServerLoad each : usable) {
            BackendServerId server = each.registration().id();
            allSlots += each.slots();
            slots += coldLimits.isCold(server, now)
                    ? Math.min(each.slots(), coldLimits.requestsPerMilli(server, now) * serviceMillis)
                    : each.slots();
            allWarmMillis = Math.max(allWarmMillis, coldLimits.coldMillis(server, now));
        }
        return Math.min(workMillis / Math.max(1, slots), allWarmMillis + workMillis / Math.max(1, allSlots));
    }

    /** Milliseconds until the limits allow one more request of an entry after so many; 0 if no server is limited. */
    double waitMillis(List<ServerLoad> usable, HostId entry, int ahead, long now) {
        if (reportedLimits.isEmpty() && coldLimits.isEmpty()) {
            return 0;
        }
        double requestsPerMilli = 0;
        double shortestWaitMillis = Double.MAX_VALUE;
        double firstWarmMillis = Double.MAX_VALUE;
        for (ServerLoad each : usable) {
            BackendServerId server = each.registration().id();
            RequestPacer pacer = each.requestPacer();
            requestsPerMilli += Math.min(pacer.requestsPerMilli(), coldLimits.requestsPerMilli(server, now));
            double waitMillis = Math.max(pacer.waitMillis(now), coldLimits.waitMillis(server, entry, now));
            shortestWaitMillis = Math.min(shortestWaitMillis, waitMillis);
            if (!pacer.isLimited()) {
                firstWarmMillis = Math.min(firstWarmMillis, coldLimits.coldMillis(server, now));
            }
        }
        double queueMillis = ahead == 0 ? 0 : ahead / requestsPerMilli;
        return Math.min(shortestWaitMillis + queueMillis, firstWarmMillis);
    }
}
