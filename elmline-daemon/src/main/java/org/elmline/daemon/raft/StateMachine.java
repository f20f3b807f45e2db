package org.elmline.daemon.raft;

/** What committed commands are applied to, in one order on all replicas. Called by one thread only. */
public interface StateMachine {
    /** Applies a command and returns its result. Must depend on nothing but the state and the command. */
    byte[] apply(long index, byte[] command);

    /** The whole state. */
    byte[] snapshot();

    /** Replaces the whole state. */
    void restore(byte[] snapshot);
}
