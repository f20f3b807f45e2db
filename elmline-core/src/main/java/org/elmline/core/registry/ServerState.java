package org.elmline.core.registry;

/** The state that a backend server reports. Within one start of a server the states only advance. */
public enum ServerState {
    /** Accepts work. */
    READY,
    /** Finishes requests in flight and accepts no new work. */
    DRAINING,
    /** Has left, or its address belongs to a server that started later. */
    GONE;

    public boolean acceptsWork() {
        return this == READY;
    }
}
