package org.elmline.core.raft;

/** How a leader sends to one replica. */
enum ProgressState {
    /** One request at a time, until an index is found at which the logs match. */
    PROBE,
    /** Requests are sent without waiting for the answers to earlier ones. */
    REPLICATE,
    /** The entries that the replica lacks are compacted; chunks of a snapshot are sent one at a time. */
    SNAPSHOT
}
