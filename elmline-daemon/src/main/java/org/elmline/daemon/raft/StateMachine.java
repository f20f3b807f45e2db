package org.elmline.daemon.raft;

/** State to which committed commands are applied, in the same order on all replicas. Called by one thread at a time. */
public interface StateMachine {
    /** Applies a command and returns its result. Must depend on nothing but the state and the command. */
    byte[] apply(long index, byte[] command);

    /** Returns the whole state, encoded. */
    byte[] snapshot();

    /** Replaces the whole state. */
    void restore(byte[] snapshot);
}
