package org.elmline.core.raft;

/** A read that may be answered from a state machine that has applied {@code index}. */
public record ConfirmedRead(long number, long index) {}
