package org.elmline.core.raft;

/** Role of a replica in its current term. */
public enum Role {
    FOLLOWER,
    /**
     * Requests pre-votes to find out whether it could win an election, without raising its term (Raft thesis, section
     * 9.6).
     */
    PRE_CANDIDATE,
    CANDIDATE,
    LEADER
}
