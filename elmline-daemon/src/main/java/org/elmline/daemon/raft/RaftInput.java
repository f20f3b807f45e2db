package org.elmline.daemon.raft;

import java.util.concurrent.CompletableFuture;

import org.elmline.core.raft.MembershipChange;
import org.elmline.core.raft.Message;
import org.elmline.core.raft.ReplicaId;

/** Inputs in the queue of the log's thread. */
sealed interface RaftInput {
    record Propose(byte[] command, CompletableFuture<ProposeResult> done) implements RaftInput {}

    record ChangeMembership(MembershipChange change, CompletableFuture<ProposeResult> done) implements RaftInput {}

    record Read(CompletableFuture<ReadResult> done) implements RaftInput {}

    record MessageReceived(Message message) implements RaftInput {}

    record Join(ReplicaId replica) implements RaftInput {}

    record JoinAnswerReceived(RaftChannels.JoinAnswer answer) implements RaftInput {}

    /**
     * Transfers leadership.
     *
     * @param target null for the voter that holds most of the log
     */
    record TransferLeadership(ReplicaId target, CompletableFuture<Boolean> done) implements RaftInput {}
}
