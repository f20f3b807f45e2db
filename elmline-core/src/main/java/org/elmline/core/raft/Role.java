package org.elmline.core.raft;

/** What a replica does in its term. */
public enum Role {
    FOLLOWER,
    /** Asks whether it could win, without raising its term (Raft thesis, section 9.6). */
    PRE_CANDIDATE,
    CANDIDATE,
    LEADER
}
