package org.elmline.core.raft;

/** How a leader sends to one replica. */
enum ProgressState {
    /** One request at a time, until the logs are known to agree somewhere. */
    PROBE,
    /** Requests follow each other without waiting for answers. */
    REPLICATE,
    /** The entries it lacks are compacted; pieces of a snapshot go out one at a time. */
    SNAPSHOT
}
