package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.elmline.core.admission.AdmissionForecast;
import org.elmline.core.admission.CallDemand;
import org.elmline.core.admission.EngineOutlook;

/**
 * Predicts from a forecast of slots, memory and prefill on the engines, computed once a pass for all waiting calls, and
 * from rate limits. A call is too late once its predicted first token or the half of its answer comes after its caller
 * has given up; a call that would only miss its aim waits.
 */
final class ForecastAdmission implements AdmissionRule {
    private final Placement placement;
    private final RateLimitEnforcer rateLimits;
    private final AdmissionForecast forecast;
    private final Map<String, Double> beginMillis = new HashMap<>();

    ForecastAdmission(Placement placement, RateLimitEnforcer rateLimits, AdmissionForecast forecast) {
        this.placement = placement;
        this.rateLimits = rateLimits;
        this.forecast = forecast;
    }

    /**
     * The call's own prefill and first pass, and one pass of a full engine before: an engine begins its next pass as soon
     * as a call has ended, and a call that is placed in its slot waits for this pass.
     */
    @Override
    public double firstMillis(DispatchCall call, List<ServerLoad> usable) {
        if (usable.isEmpty()) {
            return 0;
        }
        ServerLoad engine = usable.get(0);
        return placement.shortestFirstMillis(call, usable) + engine.timing().passMillis(engine.slots(), 0);
    }

    @Override
    public void beginPass(List<WaitingCall> waiting, List<ServerLoad> usable, long now) {
        beginMillis.clear();
        if (waiting.isEmpty() || usable.isEmpty()) {
            return;
        }
        List<EngineOutlook> outlooks = new ArrayList<>(usable.size());
        usable.forEach(each -> outlooks.add(each.outlook(placement, now)));
        forecast.reset(outlooks);
        List<WaitingCall> late = new ArrayList<>();
        List<CallDemand> lateDemands = new ArrayList<>();
        for (WaitingCall each : waiting) {
            CallDemand demand = placement.demand(each.callAt(now), usable);
            // A call that cannot meet its aim yields, when it is late, to all that can.
            if (forecast.predict(demand) > demand.aimMillis()) {
                late.add(each);
                lateDemands.add(demand);
            } else {
                beginMillis.put(each.call().attempt(), forecast.add(demand));
            }
        }
        for (int i = 0; i < late.size(); i++) {
            beginMillis.put(late.get(i).call().attempt(), forecast.add(lateDemands.get(i)));
        }
    }

    @Override
    public Prediction predictNew(WaitingCall call, List<WaitingCall> waiting, List<ServerLoad> usable, long now) {
        if (waiting.isEmpty()) {
            return predict(call, 0, 0, usable, now);
        }
        CallDemand demand = placement.demand(call.call(), usable);
        double begin = beginMillis.isEmpty() ? 0 : forecast.predict(demand);
        Comparator<WaitingCall> order = WaitingCall.placementOrder(now);
        for (WaitingCall each : waiting) {
            Double other = beginMillis.get(each.call().attempt());
            boolean comesAfter = other != null && order.compare(call, each) < 0;
            if (comesAfter && placement.isLong(each.call(), usable) == demand.isSplit()) {
                begin = Math.min(begin, other);
            }
        }
        return predict(call, begin, waiting.size(), usable, now);
    }

    @Override
    public Prediction predictWaiting(WaitingCall call, int ahead, List<ServerLoad> usable, long now) {
        return predict(call, beginMillis.getOrDefault(call.call().attempt(), 0.0), ahead, usable, now);
    }

    private Prediction predict(WaitingCall waiting, double engineMillis, int ahead, List<ServerLoad> usable, long now) {
        DispatchCall call = waiting.callAt(now);
        double begin = Math.max(engineMillis, rateLimits.waitMillis(usable, call.host(), ahead, now));
        boolean isTooLate = begin + placement.shortestFirstMillis(call, usable) > call.firstLeftMillis()
                || begin + placement.serviceMillis(call, usable) / 2 > call.deadlineLeftMillis();
        return new Prediction(isTooLate, begin - Math.max(0, call.aimLeftMillis()));
    }
}
