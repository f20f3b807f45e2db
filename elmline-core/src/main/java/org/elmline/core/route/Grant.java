package org.elmline.core.route;

import org.elmline.core.common.Address;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.OrganisationId;

/**
 * The right to run one attempt on one engine, with its memory reserved by the owner until released. It carries all that
 * a new owner needs to reserve the same again.
 *
 * @param host host whose entry runs the attempt; when that incarnation is gone, the owner frees the grant
 * @param server engine to use, under its incarnation at the time
 * @param protocol name of the engine plug-in
 * @param kvTokens tokens reserved: prompt and longest answer
 * @param cachedTokens leading prompt tokens that the engine is believed to hold
 * @param predictedFirstTokenMillis milliseconds from the grant to the first token, as the owner expects
 * @param remainingMillis milliseconds from the grant to the request's deadline; the owner reclaims the grant when its
 *     entry is silent past it
 * @param awaitingFirstToken whether the prompt still counts as prefill backlog
 */
public record Grant(
        AttemptId attempt,
        HostId host,
        Incarnation incarnation,
        OrganisationId organisation,
        ModelName model,
        BackendServerId server,
        Incarnation serverIncarnation,
        Address engine,
        String protocol,
        int promptTokens,
        long kvTokens,
        int cachedTokens,
        long predictedFirstTokenMillis,
        long remainingMillis,
        boolean awaitingFirstToken) {
    /** The same grant once its first token has come. */
    public Grant afterFirstToken() {
        return new Grant(
                attempt,
                host,
                incarnation,
                organisation,
                model,
                server,
                serverIncarnation,
                engine,
                protocol,
                promptTokens,
                kvTokens,
                cachedTokens,
                predictedFirstTokenMillis,
                remainingMillis,
                false);
    }
}
