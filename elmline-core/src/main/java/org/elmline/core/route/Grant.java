package org.elmline.core.route;

import org.elmline.core.common.Address;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.OrganisationId;

/**
 * The right to run one attempt on one engine, with its memory reserved by the owner until released. It carries
 * everything that a new owner needs to make the same reservation.
 *
 * @param host host whose entry runs the attempt; once that incarnation has ended, the owner frees the grant
 * @param server engine to use, under its incarnation at the time
 * @param protocol name of the engine plug-in
 * @param kvTokens tokens reserved: prompt and longest answer
 * @param cachedTokens leading prompt tokens estimated to be in the engine's prefix cache
 * @param predictedFirstTokenMillis predicted milliseconds from the grant to the first token
 * @param remainingMillis milliseconds from the grant to the request's deadline; the owner reclaims a grant that its
 *     entry has not released within a grace period after it
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
    /** Returns this grant as it stands after the first token. */
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
