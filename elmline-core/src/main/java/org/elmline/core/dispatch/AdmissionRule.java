package org.elmline.core.dispatch;

import java.util.List;

import org.elmline.core.admission.AdmissionForecast;
import org.elmline.core.admission.AdmissionMode;

/** Predicts whether calls can still be served in time, and when callers of refused ones should retry. */
interface AdmissionRule {
    /** The rule of a mode. */
    static AdmissionRule of(AdmissionMode mode, Placement placement, RateLimitEnforcer rateLimits) {
        return mode == AdmissionMode.FORECAST
                ? new ForecastAdmission(placement, rateLimits, new AdmissionForecast())
                : new SlotAdmission(placement, rateLimits);
    }

    /** Milliseconds before its aim at which a waiting call counts as late. */
    double firstMillis(DispatchCall call, List<ServerLoad> usable);

    /** Begins a pass over the waiting calls, which are in the order of placement. */
    void beginPass(List<WaitingCall> waiting, List<ServerLoad> usable, long now);

    /** The prediction for a call that does not wait yet. */
    Prediction predictNew(WaitingCall call, List<WaitingCall> waiting, List<ServerLoad> usable, long now);

    /**
     * The prediction for a call of the pass.
     *
     * @param ahead waiting calls that precede it
     */
    Prediction predictWaiting(WaitingCall call, int ahead, List<ServerLoad> usable, long now);

    /**
     * Prediction for one call.
     *
     * @param isTooLate whether it cannot be served before its caller gives up
     * @param retryAfterMillis time until a call like it could be served
     */
    record Prediction(boolean isTooLate, double retryAfterMillis) {}
}
