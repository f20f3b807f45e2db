package org.elmline.daemon.gateway;

import io.undertow.util.HeaderMap;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.dispatch.DispatchAnswer;
import org.elmline.core.dispatch.Helper;

/**
 * Translates between the headers of callers and backend servers and the gateway's types. Implementations make no
 * decisions. Called on the I/O thread only.
 */
public interface CallProtocol {
    /** Reads a call's headers. Throws IllegalArgumentException on an invalid value. */
    CallHead read(HeaderMap headers);

    /** Reads the headers of an answer. */
    AnswerHead read(int status, HeaderMap headers);

    /**
     * The headers with which a call is sent to a backend server.
     *
     * @param callerHeaders the caller's headers
     * @param organisation the organisation of the caller's key, null without a key
     * @param remainingMillis time until the call's deadline
     * @param lastEventId id of the last event that the caller has received, negative for none
     */
    HeaderMap forwardedHeaders(
            HeaderMap callerHeaders,
            OrganisationId organisation,
            DispatchAnswer.Granted grant,
            long remainingMillis,
            long lastEventId);

    /** Copies the headers of a backend server's answer that are passed on to the caller. */
    void copyAnswerHeaders(HeaderMap answerHeaders, HeaderMap callerHeaders);

    /** Sets the time after which the caller should retry. */
    void setRetryAfter(HeaderMap headers, long millis);

    /** The path at which engines accept reservations. */
    String reservationPath();

    /** The headers of a reservation or release. */
    HeaderMap reservationHeaders(Helper engine);

    /** The body that reserves memory under an id, or renews the reservation. */
    byte[] reserveBody(String id, long tokens, long holdMillis);

    /** The body that releases the reservation under an id. */
    byte[] releaseBody(String id);
}
