package org.elmline.daemon.gateway;

import java.util.Set;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.dispatch.ServerNotice;

/**
 * The contents of the headers of a backend server's answer.
 *
 * @param requestId the id of the request that it answers; null without one
 * @param notExecuted whether the server states that it did not run the request
 * @param wrongServer whether another server than the intended one has answered
 * @param faultyServer the server because of which the request was refused; null when not stated
 * @param encoded whether the body was changed on the way, so that it isn't the server's own
 * @param signed whether it carries the server's signature
 * @param keepAliveSeconds seconds for which the connection may stay idle, negative when not stated
 * @param closesConnection whether the server closes the connection after it
 * @param notice what the server states about itself
 */
public record AnswerHead(
        String requestId,
        boolean notExecuted,
        boolean wrongServer,
        BackendServerId faultyServer,
        boolean encoded,
        boolean signed,
        int keepAliveSeconds,
        boolean closesConnection,
        ServerNotice notice) {
    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int MAX_SUCCESS_STATUS = 299;

    /** Request timeout, too many requests, service unavailable: the request did not run. */
    private static final Set<Integer> REFUSAL_STATUSES = Set.of(408, 429, 503);

    static boolean isSuccess(int status) {
        return status >= MIN_SUCCESS_STATUS && status <= MAX_SUCCESS_STATUS;
    }

    /** Whether an answer with this head states that the request did not run. */
    boolean isRefusal(int status) {
        return notExecuted || wrongServer || REFUSAL_STATUSES.contains(status);
    }

    /**
     * Why an answer with this head must not be taken for the answer to a request; null if there is no reason. Without an
     * id, a refusal may be a late one of an earlier request on the connection, and would lead to a second execution.
     *
     * @param request the id of the request; null without one
     */
    String mismatch(int status, String request, boolean connectionReused) {
        if (requestId != null) {
            return requestId.equals(request) ? null : "the answer belongs to another request";
        }
        return connectionReused && isRefusal(status) ? "a refusal without request id on a reused connection" : null;
    }

    /** Why an answer with this head is unusable for the caller; null if there is no reason. */
    String fault(int status, String request, boolean connectionReused) {
        String mismatch = mismatch(status, request, connectionReused);
        if (mismatch != null) {
            return mismatch;
        }
        if (encoded) {
            return "the answer is encoded";
        }
        return isSuccess(status) && !signed ? "an unsigned answer" : null;
    }
}
