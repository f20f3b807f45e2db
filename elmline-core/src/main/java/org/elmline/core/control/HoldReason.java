package org.elmline.core.control;

/** Why an engine that differs from its configured state receives no order now. */
public enum HoldReason {
    /** The leader's own lease has expired or is about to. */
    LEADER_LEASE,
    /** An earlier leader's order may still arrive. */
    LEADER_SETTLING,
    /** The engine's state was not read recently. */
    NOT_OBSERVED,
    /** The model is removed. */
    MODEL_REMOVED,
    /** The order was sent; the engine's state does not show its effect yet. */
    AWAITING_EFFECT,
    /** Another order was sent shortly before and may still arrive after this one. */
    EARLIER_ORDER,
    /** The engine rejected this order as invalid; another ticket is needed. */
    REJECTED,
    /** The model that the engine serves now would have fewer ready replicas than its minimum. */
    READY_FLOOR,
    /** The weight store's rate limit is exhausted. */
    LOAD_RATE
}
