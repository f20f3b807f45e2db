package org.elmline.core.registry;

/** What a backend server says of itself. Within one start of a server the states only move forward. */
public enum ServerState {
    /** Takes work. */
    READY,
    /** Finishes what it has and wants no new work. */
    DRAINING,
    /** Has left, or its address belongs to a newer server. */
    GONE;

    public boolean acceptsWork() {
        return this == READY;
    }
}
