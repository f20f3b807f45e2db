package org.elmline.core.common;

/** Why a request got no answer of its own; each reason carries the HTTP status that callers see. */
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
    DEADLINE(504, "deadline_exceeded"),
    BACKEND_FAILED(502, "backend_failed");

    private final int httpStatus;
    private final String errorType;

    RefusalReason(int status, String type) {
        this.httpStatus = status;
        this.errorType = type;
    }

    public int httpStatus() {
        return httpStatus;
    }

    /** The machine-readable word in the caller's error body. */
    public String errorType() {
        return errorType;
    }

    /** Whether the same request may do better later, so that an answer must say when to come back. */
    public boolean retryable() {
        return httpStatus == 429 || httpStatus == 503 || httpStatus == 504 || httpStatus == 502;
    }
}
