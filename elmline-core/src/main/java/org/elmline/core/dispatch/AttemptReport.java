package org.elmline.core.dispatch;

import org.elmline.core.common.BackendServerId;

/**
 * Progress or end of a granted attempt, as its entry reports it.
 *
 * @param end null for a report of an attempt that goes on, otherwise how the attempt ended
 * @param limit request rate limit stated in the server's answer; null without an answer
 * @param faultyHelper helper because of which the server refused the request; null without one
 * @param leaving whether the server states in its answer that it accepts no new requests any more
 * @param silent whether an attempt that goes on has had nothing from its server for too long; otherwise it has its
 *     first token. False from an earlier release.
 */
public record AttemptReport(
        String attempt,
        AttemptEnd end,
        ServerRateLimit limit,
        BackendServerId faultyHelper,
        boolean leaving,
        boolean silent) {
    public AttemptReport {
        if (attempt == null) {
            throw new IllegalArgumentException("a report needs its attempt");
        }
    }

    /** Creates a report with the notice in the server's answer; null without an answer. */
    public static AttemptReport of(String attempt, AttemptEnd end, ServerNotice notice) {
        return notice == null
                ? new AttemptReport(attempt, end)
                : new AttemptReport(attempt, end, notice.limit(), null, notice.leaving(), false);
    }

    /** The same report of a request that was refused because of a helper. */
    public AttemptReport withFaultyHelper(BackendServerId helper) {
        return new AttemptReport(attempt, end, limit, helper, leaving, silent);
    }

    /** Creates a report of an attempt that goes on at a server that is silent. */
    public static AttemptReport silence(String attempt) {
        return new AttemptReport(attempt, null, null, null, false, true);
    }

    /** Creates a report of an attempt that has no answer. */
    public AttemptReport(String attempt, AttemptEnd end) {
        this(attempt, end, null, null, false, false);
    }
}
