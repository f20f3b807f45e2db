package org.elmline.daemon.raft;

import java.util.List;

import org.elmline.core.peer.Channel;
import org.elmline.core.raft.Membership;
import org.elmline.core.raft.Message;
import org.elmline.core.raft.ReplicaId;

/** What control hosts serve to each other for the log. */
public final class RaftChannels {
    /** Messages of the log; one-way, the answer only says that they were taken. */
    public static final Channel<Messages, Acknowledged> MESSAGES =
            new Channel<>("raft.messages", Messages.class, Acknowledged.class);

    /** A replica with a fresh data folder asks to become a member; to be repeated until it votes. */
    public static final Channel<Join, JoinAnswer> JOIN = new Channel<>("raft.join", Join.class, JoinAnswer.class);

    /** A replica's standing, for operators. */
    public static final Channel<StatusQuery, RaftStatus> STATUS =
            new Channel<>("raft.status", StatusQuery.class, RaftStatus.class);

    private RaftChannels() {}

    /** Messages to replicas of one host. */
    public record Messages(List<Message> messages) {
        public Messages {
            messages = List.copyOf(messages);
        }
    }

    /** Asks to become a member. */
    public record Join(ReplicaId replica) {}

    /**
     * Taken, not yet handled; only the leader can let a replica join.
     *
     * @param leader null when the host that was asked knows of none
     * @param membership as the host that was asked knows it; empty where it is no member itself
     */
    public record JoinAnswer(ReplicaId leader, Membership membership) {
        public JoinAnswer {
            membership = membership == null ? Membership.EMPTY : membership;
        }
    }

    /** Taken, not yet handled. */
    public record Acknowledged() {}

    /** Asks for a replica's standing. */
    public record StatusQuery() {}
}
