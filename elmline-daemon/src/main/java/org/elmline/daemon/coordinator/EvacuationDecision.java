package org.elmline.daemon.coordinator;

/** The decision on an operator's order to start or end an evacuation. */
public enum EvacuationDecision {
    /** The failure domain is as ordered, durably. */
    ACKNOWLEDGED,
    /** Not decided or overtaken by another change; the sender should send the order again. */
    UNDECIDED,
    /** The sender has closed its connection; nothing was changed and nobody waits for an answer. */
    DROPPED
}
