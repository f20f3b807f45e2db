package org.elmline.daemon.gateway;

import org.elmline.core.dispatch.DispatchAnswer;
import org.elmline.core.routing.CallRoute;

/** Times without a byte from a server after which an attempt counts as silent. */
final class SilenceTimeouts {
    /** Time allowed for a stream's first event beyond twice the predicted time; the worst case on a busy engine. */
    private static final long FIRST_EVENT_SLACK_MILLIS = 500;

    /** Time after which an engine reports that a helper has failed, plus a round trip. */
    private static final long HELPER_TIMEOUT_MILLIS = 1_600;

    /** Time between events of a stream, in allowed gaps of the route, after which its server counts as silent. */
    private static final int STREAM_TIMEOUT_GAPS = 3;

    /**
     * Shortest such time-out: a sound server may be silent for a second. Callers leave a stream after two seconds
     * without an event, and another server needs some hundred milliseconds to go on.
     */
    private static final long MIN_STREAM_TIMEOUT_MILLIS = 1_200;

    /** Part of the time left to the call's aim after which a call that may be retried is sent to another server. */
    private static final double ANSWER_TIMEOUT_SHARE = 0.65;

    private static final long MIN_ANSWER_TIMEOUT_MILLIS = 40;

    private SilenceTimeouts() {}

    /** Milliseconds until the first event of a stream, or the first byte of another answer, is overdue. */
    static long firstMillis(CallRoute route, DispatchAnswer.Granted granted, long aimLeftMillis) {
        return route.isStreaming()
                ? 2 * granted.firstMillis() + FIRST_EVENT_SLACK_MILLIS + helperSlackMillis(granted)
                : Math.max(MIN_ANSWER_TIMEOUT_MILLIS, (long) (ANSWER_TIMEOUT_SHARE * aimLeftMillis));
    }

    /** Additional time for an engine to report a failed helper; with less, a slow group would count as failed. */
    private static long helperSlackMillis(DispatchAnswer.Granted granted) {
        return granted.helpers().isEmpty() ? 0 : HELPER_TIMEOUT_MILLIS;
    }

    /** Milliseconds after an event of a stream until the next one is overdue. */
    static long nextEventMillis(CallRoute route) {
        return Math.max(MIN_STREAM_TIMEOUT_MILLIS, (long) STREAM_TIMEOUT_GAPS * route.gapMillis());
    }
}
