package org.elmline.core.control;

/** Why an engine that differs from its wanted state gets no order now. */
public enum HoldReason {
    /** The leader's own lease is over or nearly so. */
    LEADER_LEASE,
    /** An earlier leader's order may still arrive. */
    LEADER_SETTLING,
    /** The engine's state was not read lately. */
    NOT_OBSERVED,
    /** The model is removed. */
    MODEL_REMOVED,
    /** The order was sent; its effect doesn't show yet. */
    AWAITING_EFFECT,
    /** Another order was sent shortly before and may still arrive after this one. */
    EARLIER_ORDER,
    /** The engine called this order invalid; it needs another ticket. */
    REJECTED,
    /** The model that the engine serves now would have too few ready replicas. */
    READY_FLOOR,
    /** The weight store's rate limit is used up. */
    LOAD_RATE
}
