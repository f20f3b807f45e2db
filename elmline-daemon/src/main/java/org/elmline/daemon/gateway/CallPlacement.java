package org.elmline.daemon.gateway;

import java.util.concurrent.TimeUnit;

import org.elmline.core.dispatch.AttemptEnd;
import org.elmline.core.dispatch.DispatchAnswer;
import org.elmline.core.dispatch.DispatchCall;
import org.elmline.daemon.log.LogLine;
import org.elmline.daemon.log.SampledRequestLog;

/**
 * Searches a place for the next attempt of one call: passes the quarantine, then requests the place from a dispatcher.
 * Used on the I/O thread only.
 */
final class CallPlacement {
    /**
     * Time before the caller's time-out at which a call without a place is refused: the transit time of the answer and
     * some tens of that.
     */
    private static final long REFUSAL_MARGIN_MILLIS = 250;

    /**
     * Retry-After when no place was found for seconds: about the time in which half the load of a full deployment ends.
     */
    private static final long NO_PLACE_RETRY_AFTER_MILLIS = 1_000;

    private final GatewayContext context;
    private final CallQuarantine quarantine;
    private final SampledRequestLog requestLog;
    private final Listener listener;
    private boolean searching;
    private DispatchCall pending;

    /** The call that a place is searched for. */
    interface Listener {
        /** The request for a place, with the times that are left now. */
        DispatchCall newRequest();

        /** Starts a log line on the call. */
        LogLine line(String event);

        /** Whether a place is refused shortly before the caller's time-out. */
        boolean expires();

        /** Time until the caller's deadline. */
        long remainingMillis();

        /** Time until the caller closes a stream without events; for other calls, time until the deadline. */
        long firstEventRemainingMillis();

        void onGranted(DispatchCall request, DispatchAnswer.Granted granted);

        void onNoPlace(String why, long retryAfterMillis);
    }

    CallPlacement(GatewayContext context, CallQuarantine quarantine, SampledRequestLog requestLog, Listener listener) {
        this.context = context;
        this.quarantine = quarantine;
        this.requestLog = requestLog;
        this.listener = listener;
    }

    boolean isSearching() {
        return searching;
    }

    /** Starts the search; its result is reported once, unless it is withdrawn before. */
    void search() {
        searching = true;
        quarantine.admit(this::request, this::finishWithout, listener::firstEventRemainingMillis);
    }

    private void request() {
        if (!searching || pending != null) {
            return;
        }
        DispatchCall request = listener.newRequest();
        pending = request;
        if (listener.expires()) {
            context.thread()
                    .executeAfter(
                            () -> expire(request),
                            Math.max(1, request.firstLeftMillis() - REFUSAL_MARGIN_MILLIS),
                            TimeUnit.MILLISECONDS);
        }
        context.dispatchClient().place(request, answer -> onDecided(request, answer));
    }

    /**
     * Refuses a call that has no place shortly before its caller's time-out, so that the caller gets a Retry-After
     * rather than a time-out.
     */
    private void expire(DispatchCall request) {
        if (pending == request) {
            withdraw();
            listener.onNoPlace("no place in time", NO_PLACE_RETRY_AFTER_MILLIS);
        }
    }

    private void onDecided(DispatchCall request, DispatchAnswer answer) {
        if (request != pending) {
            // Sent now, it would run after its caller was told that it did not.
            context.dispatchClient().reportEnd(request, AttemptEnd.CANCELLED);
            return;
        }
        pending = null;
        searching = false;
        if (answer instanceof DispatchAnswer.Granted granted) {
            listener.onGranted(request, granted);
            return;
        }
        DispatchAnswer.Refused refused = (DispatchAnswer.Refused) answer;
        requestLog.logFailure(listener.line("not placed")
                .with("attempt", request.attempt())
                .with("why", refused.why())
                .with("service", request.service())
                .with("leftMs", listener.remainingMillis())
                .with("retryAfterMs", refused.retryAfterMillis()));
        listener.onNoPlace(refused.why().name(), retryAfterMillis(request, refused));
    }

    /** A backoff that the servers requested from this entry does not hold for the others. */
    private long retryAfterMillis(DispatchCall request, DispatchAnswer.Refused refused) {
        return refused.why() != DispatchAnswer.RefusalCause.NO_SERVER
                        || context.deployment().hasOtherServingEntry()
                ? refused.retryAfterMillis()
                : Math.max(
                        refused.retryAfterMillis(), context.backends().gate().shortestBackoffMillis(request.service()));
    }

    private void finishWithout(String why, long retryAfterMillis) {
        if (searching) {
            searching = false;
            listener.onNoPlace(why, retryAfterMillis);
        }
    }

    /** Ends the search; nothing is reported any more. */
    void withdraw() {
        searching = false;
        quarantine.withdraw();
        if (pending != null) {
            context.dispatchClient().withdraw(pending);
            pending = null;
        }
    }
}
