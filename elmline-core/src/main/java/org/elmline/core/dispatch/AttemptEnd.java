package org.elmline.core.dispatch;

/** How one attempt of a call on a backend server ended, and what that indicates about the server's health. */
public enum AttemptEnd {
    /** The server answered, possibly with an error caused by the call itself. */
    DONE(HealthSignal.SUCCESS),
    /** The server answered with a failure of its own. */
    SERVER_ERROR(HealthSignal.FAILURE),
    /** The server reported that it did not execute the call. */
    NOT_EXECUTED(HealthSignal.BUSY),
    /** Another server has the address. */
    WRONG_SERVER(HealthSignal.UNREACHABLE),
    /** No connection could be established. */
    NOT_SENT(HealthSignal.UNREACHABLE),
    /** The call was not sent, for a reason unrelated to the server. */
    NOT_SENT_HERE(HealthSignal.NONE),
    /** The connection broke, or the answer could not be parsed. */
    BROKEN(HealthSignal.FAILURE),
    /** The server did not answer within the expected time. */
    SILENT(HealthSignal.TIMEOUT),
    /** The caller disconnected, or its deadline passed. */
    CANCELLED(HealthSignal.NONE);

    private final HealthSignal healthSignal;

    AttemptEnd(HealthSignal signal) {
        this.healthSignal = signal;
    }

    HealthSignal healthSignal() {
        return healthSignal;
    }

    /** Whether the server may have started to execute the call. */
    public boolean mayHaveRun() {
        return switch (this) {
            case NOT_EXECUTED, WRONG_SERVER, NOT_SENT, NOT_SENT_HERE -> false;
            default -> true;
        };
    }

    /** Whether the request may have reached a server, even one that did not run it. */
    public boolean mayHaveReachedServer() {
        return this != NOT_SENT && this != NOT_SENT_HERE;
    }

    /** What the end of an attempt indicates about the server's health. */
    enum HealthSignal {
        SUCCESS,
        FAILURE,
        BUSY,
        TIMEOUT,
        UNREACHABLE,
        NONE
    }
}
