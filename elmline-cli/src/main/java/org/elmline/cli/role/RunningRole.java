package org.elmline.cli.role;

/** A role that serves, from its start to its graceful stop. */
public interface RunningRole {
    /** What is printed once it serves: {@code ready} and the addresses bound. */
    String readyLine();

    /** Stops gracefully; returns when nothing is left in flight or its time is up. */
    void stop() throws InterruptedException;
}
