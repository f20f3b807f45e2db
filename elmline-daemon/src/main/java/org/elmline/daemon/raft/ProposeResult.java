package org.elmline.daemon.raft;

import org.elmline.core.raft.ProposeRefusal;
import org.elmline.core.raft.ReplicaId;

/** Result of a proposed command or membership change. */
public sealed interface ProposeResult {
    /** Synced by a majority and applied here; {@code result} is the state machine's, empty for a membership change. */
    record Committed(long index, byte[] result) implements ProposeResult {}

    /** Not in the log and never will be; to be proposed to {@code leader}, null when none is known. */
    record NotLeader(ReplicaId leader) implements ProposeResult {}

    /** Not in the log and never will be. */
    record Refused(ProposeRefusal why) implements ProposeResult {}

    /** In this replica's log when it stopped leading; another leader may still commit it. */
    record Unknown(String why) implements ProposeResult {}
}
