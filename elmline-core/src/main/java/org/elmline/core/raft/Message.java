package org.elmline.core.raft;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * What replicas say to each other. Messages may be lost, repeated, reordered or late; all are harmless then.
 *
 * <p>{@code sentNanos} is the leader's own monotonic clock when it sent the request; the answer returns it untouched, so
 * that the leader's lease counts from the sending and no two clocks are ever compared.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
public sealed interface Message {
    ReplicaId from();

    ReplicaId to();

    long term();

    /** Whether only the leader of the term sends it. */
    @JsonIgnore
    default boolean fromLeader() {
        return this instanceof AppendRequest || this instanceof Heartbeat || this instanceof SnapshotChunk;
    }

    /** Asks whether the sender could win the term, which nobody enters for it. */
    @JsonTypeName("pre-vote")
    record PreVoteRequest(ReplicaId from, ReplicaId to, long term, long lastIndex, long lastTerm) implements Message {}

    /** A granted one carries the term asked for, a refused one the answerer's own. */
    @JsonTypeName("pre-vote-answer")
    record PreVoteResponse(ReplicaId from, ReplicaId to, long term, boolean granted) implements Message {}

    /**
     * Asks for the vote of the term.
     *
     * @param transfer true when the leader itself told the sender to stand, after its lease had ended
     */
    @JsonTypeName("vote")
    record VoteRequest(ReplicaId from, ReplicaId to, long term, long lastIndex, long lastTerm, boolean transfer)
            implements Message {}

    /** Grants or refuses the vote of the term. */
    @JsonTypeName("vote-answer")
    record VoteResponse(ReplicaId from, ReplicaId to, long term, boolean granted) implements Message {}

    /** Entries that follow {@code prevIndex}, and how far the log is committed. */
    @JsonTypeName("append")
    record AppendRequest(
            ReplicaId from,
            ReplicaId to,
            long term,
            long prevIndex,
            long prevTerm,
            List<Entry> entries,
            long commit,
            long sentNanos)
            implements Message {}

    /**
     * Says how far the logs agree.
     *
     * @param prevIndex of the request
     * @param matchIndex when accepted, up to where the logs agree; when not, where the leader should look next
     */
    @JsonTypeName("append-answer")
    record AppendResponse(
            ReplicaId from, ReplicaId to, long term, boolean accepted, long prevIndex, long matchIndex, long sentNanos)
            implements Message {}

    /** The leader lives; entries up to {@code commit} are committed and in the receiver's log. */
    @JsonTypeName("heartbeat")
    record Heartbeat(ReplicaId from, ReplicaId to, long term, long commit, long sentNanos) implements Message {}

    /** The sender won't vote for another before the shortest election timeout has passed. */
    @JsonTypeName("heartbeat-answer")
    record HeartbeatResponse(ReplicaId from, ReplicaId to, long term, long sentNanos) implements Message {}

    /** A piece of the snapshot at {@code index}, from byte {@code offset} of {@code total}. */
    @JsonTypeName("snapshot")
    record SnapshotChunk(
            ReplicaId from,
            ReplicaId to,
            long term,
            long index,
            long indexTerm,
            Membership membership,
            long offset,
            long total,
            byte[] data,
            long sentNanos)
            implements Message {}

    /** How many bytes of the snapshot at {@code index} are held; the next piece starts there. */
    @JsonTypeName("snapshot-answer")
    record SnapshotResponse(ReplicaId from, ReplicaId to, long term, long index, long nextOffset, long sentNanos)
            implements Message {}

    /** The leader hands over: stand for election at once. */
    @JsonTypeName("stand")
    record TimeoutNow(ReplicaId from, ReplicaId to, long term) implements Message {}
}
