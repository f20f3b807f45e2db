package org.elmline.daemon.raft;

import java.util.concurrent.CompletableFuture;

import org.elmline.core.raft.MembershipChange;
import org.elmline.core.raft.Message;
import org.elmline.core.raft.ReplicaId;

/** What waits in the queue before the log. */
sealed interface Input {
    record Propose(byte[] command, CompletableFuture<ProposeResult> done) implements Input {}

    record Change(MembershipChange change, CompletableFuture<ProposeResult> done) implements Input {}

    record Read(CompletableFuture<ReadResult> done) implements Input {}

    record Received(Message message) implements Input {}

    record Join(ReplicaId replica) implements Input {}

    record JoinAnswered(RaftChannels.JoinAnswer answer) implements Input {}

    /**
     * Hands leadership over.
     *
     * @param target null for the voter that holds most of the log
     */
    record Transfer(ReplicaId target, CompletableFuture<Boolean> done) implements Input {}
}
