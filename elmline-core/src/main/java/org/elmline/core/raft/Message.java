package org.elmline.core.raft;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * Messages between replicas. They may be lost, repeated, reordered or delayed without harm.
 *
 * <p>{@code sentNanos} is the leader's monotonic clock when it sent the request, in nanoseconds. The answer returns
 * it unchanged, so that the leader's lease is measured from the send time and clocks of two hosts are never compared.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
public sealed interface Message {
    ReplicaId from();

    ReplicaId to();

    long term();

    private static void requireAddressed(ReplicaId from, ReplicaId to) {
        if (from == null || to == null) {
            throw new IllegalArgumentException("a message needs its sender and its receiver");
        }
    }

    /** Whether only the leader of the term sends this message. */
    @JsonIgnore
    default boolean fromLeader() {
        return this instanceof AppendRequest || this instanceof Heartbeat || this instanceof SnapshotChunk;
    }

    /** Requests a pre-vote: whether the sender could win an election in {@code term}. Neither side enters that term. */
    @JsonTypeName("pre-vote")
    record PreVoteRequest(ReplicaId from, ReplicaId to, long term, long lastIndex, long lastTerm) implements Message {
        public PreVoteRequest {
            requireAddressed(from, to);
        }
    }

    /**
     * Answers a pre-vote request. If granted, {@code term} is the requested term, otherwise the current term of the
     * answering replica.
     */
    @JsonTypeName("pre-vote-answer")
    record PreVoteResponse(ReplicaId from, ReplicaId to, long term, boolean granted) implements Message {
        public PreVoteResponse {
            requireAddressed(from, to);
        }
    }

    /**
     * Requests the vote for the term.
     *
     * @param transfer true when the leader started this election by {@link TimeoutNow}, after its lease had ended
     */
    @JsonTypeName("vote")
    record VoteRequest(ReplicaId from, ReplicaId to, long term, long lastIndex, long lastTerm, boolean transfer)
            implements Message {
        public VoteRequest {
            requireAddressed(from, to);
        }
    }

    /** Grants or refuses the vote for the term. */
    @JsonTypeName("vote-answer")
    record VoteResponse(ReplicaId from, ReplicaId to, long term, boolean granted) implements Message {
        public VoteResponse {
            requireAddressed(from, to);
        }
    }

    /** Entries that follow {@code prevIndex}, and the index up to which the log is committed. */
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
            implements Message {
        public AppendRequest {
            requireAddressed(from, to);
            entries = entries == null ? List.of() : List.copyOf(entries);
        }
    }

    /**
     * Reports how far the logs match.
     *
     * @param prevIndex that of the request
     * @param matchIndex if accepted, the index up to which the logs match; otherwise the previous index that the leader
     *     should try next
     */
    @JsonTypeName("append-answer")
    record AppendResponse(
            ReplicaId from, ReplicaId to, long term, boolean accepted, long prevIndex, long matchIndex, long sentNanos)
            implements Message {
        public AppendResponse {
            requireAddressed(from, to);
        }
    }

    /** Sent regularly by the leader. Entries up to {@code commit} are committed and in the receiver's log. */
    @JsonTypeName("heartbeat")
    record Heartbeat(ReplicaId from, ReplicaId to, long term, long commit, long sentNanos) implements Message {
        public Heartbeat {
            requireAddressed(from, to);
        }
    }

    /**
     * Acknowledges a heartbeat: the sender grants no other replica a vote until the shortest election timeout has
     * passed, except in a leadership transfer. A replica with a newer term also sends it to a deposed leader, in answer
     * to any of its requests and with {@code sentNanos} 0.
     */
    @JsonTypeName("heartbeat-answer")
    record HeartbeatResponse(ReplicaId from, ReplicaId to, long term, long sentNanos) implements Message {
        public HeartbeatResponse {
            requireAddressed(from, to);
        }
    }

    /** A chunk of the snapshot at {@code index}, starting at byte {@code offset} of {@code total}. */
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
            implements Message {
        public SnapshotChunk {
            requireAddressed(from, to);
            if (membership == null || data == null) {
                throw new IllegalArgumentException("a snapshot needs membership and data");
            }
        }
    }

    /** Number of bytes received of the snapshot at {@code index}; the next chunk starts there. */
    @JsonTypeName("snapshot-answer")
    record SnapshotResponse(ReplicaId from, ReplicaId to, long term, long index, long nextOffset, long sentNanos)
            implements Message {
        public SnapshotResponse {
            requireAddressed(from, to);
        }
    }

    /** Sent by the leader to transfer leadership: the receiver starts an election at once. */
    @JsonTypeName("stand")
    record TimeoutNow(ReplicaId from, ReplicaId to, long term) implements Message {
        public TimeoutNow {
            requireAddressed(from, to);
        }
    }
}
