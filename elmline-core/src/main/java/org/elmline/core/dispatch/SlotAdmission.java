package org.elmline.core.dispatch;

import java.util.List;

/** Predicts from the mean work of the waiting calls over all slots, and from rate limits. */
final class SlotAdmission implements AdmissionRule {
    private final Placement placement;
    private final RateLimitEnforcer rateLimits;

    SlotAdmission(Placement placement, RateLimitEnforcer rateLimits) {
        this.placement = placement;
        this.rateLimits = rateLimits;
    }

    @Override
    public double firstMillis(DispatchCall call, List<ServerLoad> usable) {
        return 0;
    }

    @Override
    public void beginPass(List<WaitingCall> waiting, List<ServerLoad> usable, long now) {
        // Each prediction reads the current loads.
    }

    @Override
    public Prediction predictNew(WaitingCall call, List<WaitingCall> waiting, List<ServerLoad> usable, long now) {
        double waitMillis = queueWaitMillis(call.call(), waiting, usable, now);
        return new Prediction(isTooLate(call, (long) waitMillis, usable, now), waitMillis);
    }

    @Override
    public Prediction predictWaiting(WaitingCall call, int ahead, List<ServerLoad> usable, long now) {
        return new Prediction(
                isTooLate(call, rateLimits.waitMillis(usable, call.call().host(), ahead, now), usable, now), 0);
    }

    private boolean isTooLate(WaitingCall call, double waitMillis, List<ServerLoad> usable, long now) {
        return waitMillis + placement.serviceMillis(call.call(), usable) / 2 > call.deadlineLeftMillis(now);
    }

    /** Predicted milliseconds until all calls that wait now have started. */
    private double queueWaitMillis(DispatchCall call, List<WaitingCall> waiting, List<ServerLoad> usable, long now) {
        double work = 0;
        for (WaitingCall each : waiting) {
            work += placement.serviceMillis(each.call(), usable);
        }
        double workMillis = rateLimits.workMillis(usable, work, work / Math.max(1, waiting.size()), now);
        double limitMillis = rateLimits.waitMillis(usable, call.host(), waiting.size(), now);
        return Math.max(workMillis, limitMillis);
    }
}
