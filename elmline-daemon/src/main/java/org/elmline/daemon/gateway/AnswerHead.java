package org.elmline.daemon.gateway;

import org.elmline.core.dispatch.ServerRateLimit;

/**
 * What the headers of a backend server's answer say.
 *
 * @param requestId the id of the request that it answers; null without one
 * @param notExecuted whether the server says that it did not run the request
 * @param wrongServer whether another server than the one meant has answered
 * @param encoded whether the body was changed on the way, so that it isn't the server's own
 * @param signed whether it carries the server's signature
 * @param keepAliveSeconds seconds for which the connection may stay idle, negative when it does not say
 * @param closesConnection whether the server closes the connection after it
 * @param limit the requests that the server takes; null when what it says of them can't be understood
 */
public record AnswerHead(
        String requestId,
        boolean notExecuted,
        boolean wrongServer,
        boolean encoded,
        boolean signed,
        int keepAliveSeconds,
        boolean closesConnection,
        ServerRateLimit limit) {}
