package org.elmline.daemon.raft;

import org.elmline.core.raft.ReplicaId;

/** Result of a request to read the latest committed state. */
public sealed interface ReadResult {
    /** The state machine here has applied all that was committed when the read was requested. */
    record Readable(long index) implements ReadResult {}

    /** This replica does not lead; {@code leader} is null when none is known. */
    record NotLeader(ReplicaId leader) implements ReadResult {}

    /** Not possible at present; to be retried after a short delay. */
    record NotReady() implements ReadResult {}
}
