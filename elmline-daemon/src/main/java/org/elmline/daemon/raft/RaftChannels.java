package org.elmline.daemon.raft;

import java.util.List;

import org.elmline.core.peer.Channel;
import org.elmline.core.raft.Membership;
import org.elmline.core.raft.Message;
import org.elmline.core.raft.ReplicaId;

/** Channels between the replicas of the log. */
public final class RaftChannels {
    /** Raft messages. One-way: the answer only acknowledges that they were received. */
    public static final Channel<Messages, Acknowledged> MESSAGES =
            new Channel<>("raft.messages", Messages.class, Acknowledged.class);

    /** Request of a replica with a new data folder to become a member; repeated until it is a voter. */
    public static final Channel<Join, JoinAnswer> JOIN = new Channel<>("raft.join", Join.class, JoinAnswer.class);

    /** Status of a replica, for operators. */
    public static final Channel<StatusQuery, RaftStatus> STATUS =
            new Channel<>("raft.status", StatusQuery.class, RaftStatus.class);

    private RaftChannels() {}

    /** Messages to replicas on one host. */
    public record Messages(List<Message> messages) {
        public Messages {
            messages = List.copyOf(messages);
        }
    }

    /** Request to become a member. */
    public record Join(ReplicaId replica) {
        public Join {
            if (replica == null) {
                throw new IllegalArgumentException("a request to join needs its replica");
            }
        }
    }

    /**
     * The request was received, but not yet handled; only the leader can add a replica.
     *
     * @param leader the leader according to the host that answers, null when it has none
     * @param membership the membership according to the host that answers; empty where it is no member itself
     */
    public record JoinAnswer(ReplicaId leader, Membership membership) {
        public JoinAnswer {
            membership = membership == null ? Membership.EMPTY : membership;
        }
    }

    /** The messages were received, but not yet handled. */
    public record Acknowledged() {}

    /** Request for a replica's status. */
    public record StatusQuery() {}
}
