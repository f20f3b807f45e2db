package org.elmline.standin.service;

/** Faults of one stand-in service that may be set while it runs. */
public final class ServiceFaults {
    /** What happens to a call that changes something. */
    public enum Mode {
        NONE,
        /** Runs the call, then breaks the connection in place of answering. */
        DROP_ANSWER,
        /** Refuses with status 503 and {@code Elmline-Ran: no}, before anything ran. */
        FAIL_BEFORE_RUNNING
    }

    private volatile Mode mode = Mode.NONE;
    private volatile long delayMillis;

    public Mode mode() {
        return mode;
    }

    public void mode(Mode value) {
        mode = value;
    }

    public long delayMillis() {
        return delayMillis;
    }

    /** Time that each call takes, reads included. */
    public void delayMillis(long value) {
        delayMillis = value;
    }

    /** Settings as a stand-in process takes them over HTTP; null leaves one as it is. */
    public record Settings(Mode mode, Long delayMillis) {}

    public void apply(Settings settings) {
        if (settings.mode() != null) {
            mode = settings.mode();
        }
        if (settings.delayMillis() != null) {
            delayMillis = settings.delayMillis();
        }
    }
}
