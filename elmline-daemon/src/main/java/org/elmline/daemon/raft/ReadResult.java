package org.elmline.daemon.raft;

import org.elmline.core.raft.ReplicaId;

/** What became of a request to read the latest committed state. */
public sealed interface ReadResult {
    /** The state machine here holds all that was committed when the read was asked for. */
    record Readable(long index) implements ReadResult {}

    /** Ask the leader, null when none is known. */
    record NotLeader(ReplicaId leader) implements ReadResult {}

    /** Try again shortly. */
    record NotReady() implements ReadResult {}
}
