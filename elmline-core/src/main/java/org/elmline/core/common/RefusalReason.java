package org.elmline.core.common;

/** Why a request was refused; each reason has the HTTP status that callers receive. */
public enum RefusalReason {
    BAD_REQUEST(400, "invalid_request"),
    UNAUTHENTICATED(401, "invalid_api_key"),
    FORBIDDEN(403, "forbidden"),
    UNKNOWN_MODEL(404, "model_not_found"),
    UNKNOWN_SERVICE(404, "service_not_found"),
    NOT_FOUND(404, "not_found"),
    METHOD_NOT_ALLOWED(405, "method_not_allowed"),
    IDEMPOTENCY_CONFLICT(409, "idempotency_conflict"),
    STALE_TICKET(409, "stale_ticket"),
    TICKET_NUMBER_TAKEN(409, "ticket_number_taken"),
    KEY_EXPIRED(422, "idempotency_key_expired"),
    TOO_LARGE(413, "request_too_large"),
    OVER_LIMIT(429, "organisation_limit"),
    OVERLOADED(503, "overloaded"),
    NO_BACKEND_SERVER(503, "no_backend_server"),
    NO_LEASE(503, "no_lease"),
    NO_LEADER(503, "no_leader"),
    LEAVING(503, "leaving"),
    QUARANTINED(503, "quarantined"),
    DEADLINE(504, "deadline_exceeded"),
    BACKEND_FAILED(502, "backend_failed");

    private final int httpStatus;
    private final String errorType;

    RefusalReason(int httpStatus, String errorType) {
        this.httpStatus = httpStatus;
        this.errorType = errorType;
    }

    public int httpStatus() {
        return httpStatus;
    }

    /** The machine-readable error type in the body of the answer. */
    public String errorType() {
        return errorType;
    }

    /** Whether a retry of the same request may succeed, so that the answer must carry a retry delay. */
    public boolean retryable() {
        return httpStatus == 429 || httpStatus == 503 || httpStatus == 504 || httpStatus == 502;
    }
}
