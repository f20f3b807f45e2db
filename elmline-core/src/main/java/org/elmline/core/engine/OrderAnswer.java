package org.elmline.core.engine;

/** An engine's answer to an order. Engines that ignore fencing numbers accept every order. */
public enum OrderAnswer {
    ACCEPTED,
    STALE_FENCING_NUMBER,
    INVALID
}
