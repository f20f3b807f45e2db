package org.elmline.core.dispatch;

/** How one try of a call on a backend server ended, and what that says of the server. */
public enum AttemptEnd {
    /** Answered, be it with a failure of the call's own. */
    DONE(HealthSignal.SUCCESS),
    /** Answered that it failed. */
    SERVER_ERROR(HealthSignal.FAILURE),
    /** Said that it did not run the call. */
    NOT_EXECUTED(HealthSignal.BUSY),
    /** Another server has the address. */
    WRONG_SERVER(HealthSignal.UNREACHABLE),
    /** No connection could be made. */
    NOT_SENT(HealthSignal.UNREACHABLE),
    /** Was not sent for a reason that lies elsewhere. */
    NOT_SENT_HERE(HealthSignal.NONE),
    /** Broke off, or answered what can't be understood. */
    BROKEN(HealthSignal.FAILURE),
    /** Did not answer within the time expected. */
    SILENT(HealthSignal.TIMEOUT),
    /** The caller left, or its time ended. */
    CANCELLED(HealthSignal.NONE);

    private final HealthSignal healthSignal;

    AttemptEnd(HealthSignal sign) {
        this.healthSignal = sign;
    }

    HealthSignal healthSignal() {
        return healthSignal;
    }

    /** Whether the server may have begun to work on the call. */
    public boolean mayHaveRun() {
        return switch (this) {
            case NOT_EXECUTED, WRONG_SERVER, NOT_SENT, NOT_SENT_HERE -> false;
            default -> true;
        };
    }

    /** What an end says of a server's health. */
    enum HealthSignal {
        SUCCESS,
        FAILURE,
        BUSY,
        TIMEOUT,
        UNREACHABLE,
        NONE
    }
}
