package org.elmline.standin.service;

import org.elmline.standin.ColdState;

/** Faults of one stand-in service that may be set while it runs. Thread-safe. */
public final class ServiceFaults {
    /** Fault of state-changing calls. */
    public enum Mode {
        NONE,
        /** Runs the call, then closes the connection instead of answering. */
        DROP_ANSWER,
        /** Refuses with status 503 and {@code Elmline-Ran: no} before anything runs. */
        FAIL_BEFORE_RUNNING
    }

    private volatile Mode mode = Mode.NONE;
    private volatile long delayMillis;
    private volatile long retryAfterSeconds;
    private final ColdState cold = new ColdState(System::nanoTime);

    public Mode mode() {
        return mode;
    }

    public void mode(Mode value) {
        mode = value;
    }

    public long delayMillis() {
        return delayMillis;
    }

    /** Delay added to each call in milliseconds, reads included. */
    public void delayMillis(long value) {
        delayMillis = value;
    }

    public long retryAfterSeconds() {
        return retryAfterSeconds;
    }

    /** Backoff that a refusal requests from the entry, in seconds; 0 for none. */
    public void retryAfterSeconds(long value) {
        retryAfterSeconds = value;
    }

    /** Whether the service is cold; it takes only some requests then, and ends above that rate. */
    public ColdState cold() {
        return cold;
    }

    /** Fault settings as a stand-in process accepts them over HTTP; null leaves a setting unchanged. */
    public record Settings(
            Mode mode, Long delayMillis, Long retryAfterSeconds, Double coldSeconds, Double coldPerSecond) {}

    public void apply(Settings settings) {
        if (settings.mode() != null) {
            mode = settings.mode();
        }
        if (settings.delayMillis() != null) {
            delayMillis = settings.delayMillis();
        }
        if (settings.retryAfterSeconds() != null) {
            retryAfterSeconds = settings.retryAfterSeconds();
        }
        if (settings.coldSeconds() != null) {
            cold.set(settings.coldSeconds(), settings.coldPerSecond() == null ? 0 : settings.coldPerSecond());
        }
    }
}
