package org.elmline.daemon.raft;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.elmline.core.raft.ConfirmedRead;
import org.elmline.core.raft.Entry;
import org.elmline.core.raft.ReplicaId;

/** Proposals, reads and leadership transfers that await their result. Used by the log's thread only. */
final class PendingOperations {
    private record Proposal(long term, CompletableFuture<ProposeResult> done) {}

    private record Read(long term, CompletableFuture<ReadResult> done) {}

    private final Map<Long, Proposal> proposals = new HashMap<>();
    private final Map<Long, Read> reads = new HashMap<>();
    private final List<CompletableFuture<Boolean>> transfers = new ArrayList<>();

    void addProposal(long index, long term, CompletableFuture<ProposeResult> done) {
        proposals.put(index, new Proposal(term, done));
    }

    void addRead(long number, long term, CompletableFuture<ReadResult> done) {
        reads.put(number, new Read(term, done));
    }

    void addTransfer(CompletableFuture<Boolean> done) {
        transfers.add(done);
    }

    void onApplied(Entry entry, byte[] result, ReplicaId leader) {
        Proposal pending = proposals.remove(entry.index());
        if (pending == null) {
            return;
        }
        // When another entry was committed at this index, the proposed one never can be.
        boolean sameTerm = pending.term() == entry.term();
        pending.done()
                .complete(
                        sameTerm
                                ? new ProposeResult.Committed(entry.index(), result)
                                : new ProposeResult.NotLeader(leader));
    }

    void onReadConfirmed(ConfirmedRead read) {
        Read pending = reads.remove(read.number());
        if (pending != null) {
            pending.done().complete(new ReadResult.Readable(read.index()));
        }
    }

    /**
     * Completes the operations of terms before {@code term}, in which this replica no longer leads. Its proposals of
     * those terms may still be committed by another leader. Long.MAX_VALUE means that it leads no term, so that
     * leadership transfers are complete too.
     */
    void onDeposed(long term, ReplicaId leader, String why) {
        proposals.values().removeIf(each -> each.term() < term && each.done().complete(new ProposeResult.Unknown(why)));
        reads.values().removeIf(each -> each.term() < term && each.done().complete(new ReadResult.NotLeader(leader)));
        if (term == Long.MAX_VALUE) {
            transfers.forEach(each -> each.complete(true));
            transfers.clear();
        }
    }
}
