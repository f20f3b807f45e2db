package org.elmline.core.raft;

/**
 * A confirmed read: it may be answered from a state machine that has applied at least the entry at {@code index}.
 *
 * @param number the number that {@link ReadOutcome.AwaitingQuorum} returned
 */
public record ConfirmedRead(long number, long index) {}
