package org.elmline.cli.role;

/** A running role, until its graceful stop. */
public interface RunningRole {
    /** The line printed once the role serves: {@code ready} and the bound addresses. */
    String readyLine();

    /** Stops gracefully; returns when no request is in flight or the drain timeout has passed. */
    void stop() throws InterruptedException;
}
