package org.elmline.daemon.gateway;

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

    static boolean isSuccess(int status) {
        return status >= MIN_SUCCESS_STATUS && status <= MAX_SUCCESS_STATUS;
    }
}
