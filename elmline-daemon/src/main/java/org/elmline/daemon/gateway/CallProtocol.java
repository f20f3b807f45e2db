package org.elmline.daemon.gateway;

import io.undertow.util.HeaderMap;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.dispatch.DispatchAnswer;
import org.elmline.core.dispatch.Helper;

/** How callers and backend servers name things in headers; translates and decides nothing. */
public interface CallProtocol {
    /** Reads a call's headers. Throws IllegalArgumentException on a value that can't be what it should be. */
    CallHead read(HeaderMap headers);

    /** Reads the headers of an answer. */
    AnswerHead read(int status, HeaderMap headers);

    /**
     * The headers with which a call goes to a backend server.
     *
     * @param callerHeaders the caller's
     * @param organisation whom the caller's key belongs to, null without a key
     * @param lastEventId last event that the caller has, negative for none
     */
    HeaderMap forwardedHeaders(
            HeaderMap callerHeaders,
            OrganisationId organisation,
            DispatchAnswer.Granted grant,
            long remainingMillis,
            long lastEventId);

    /** Sets the headers of a backend server's answer that the caller gets. */
    void copyAnswerHeaders(HeaderMap answerHeaders, HeaderMap callerHeaders);

    /** Sets the time after which the caller should come back. */
    void setRetryAfter(HeaderMap headers, long millis);

    /** Where engines take orders. */
    String reservationPath();

    /** The headers of an order to an engine. */
    HeaderMap reservationHeaders(Helper engine);

    /** The body of an order to set memory aside under an id, or to hold it for longer. */
    byte[] reserveBody(String id, long tokens, long holdMillis);

    /** The body of an order to give back what was set aside under an id. */
    byte[] releaseBody(String id);
}
