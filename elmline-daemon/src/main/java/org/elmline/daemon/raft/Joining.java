package org.elmline.daemon.raft;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.elmline.core.common.Address;
import org.elmline.core.common.HostId;
import org.elmline.core.raft.Membership;
import org.elmline.core.raft.RaftNode;
import org.elmline.core.raft.ReplicaId;

/**
 * How a replica that is no voter finds the leader and asks it to join. Whoever is asked names the leader and all members,
 * so that one reachable member is enough, be it in the settings or not. Used by the log's thread only.
 */
final class Joining {
    /** Hosts learned from others; more are those of long ago. */
    private static final int MAX_LEARNED = 64;

    private final RaftDriver.Builder parts;
    private final RaftNode node;
    private final Sender sender;
    private final MembershipLog log;
    private final Consumer<RaftChannels.JoinAnswer> answers;
    private final long pauseNanos;
    private final Set<HostId> learned = new LinkedHashSet<>();
    private final Set<Address> asked = new LinkedHashSet<>();
    private long askAt;
    private long leaderSeenAt;

    /** @param answers takes each answer on the network's thread, and hands it to {@link #answered} */
    Joining(
            RaftDriver.Builder parts,
            RaftNode node,
            Sender sender,
            MembershipLog log,
            Consumer<RaftChannels.JoinAnswer> answers) {
        this.parts = parts;
        this.node = node;
        this.sender = sender;
        this.log = log;
        this.answers = answers;
        this.pauseNanos = parts.settings.electionTimeout().toNanos();
        this.askAt = parts.clock.nanos();
        this.leaderSeenAt = askAt;
    }

    /** Asks all known hosts, once in each election timeout. */
    void tick(long now) {
        if (node.leader() != null) {
            leaderSeenAt = now;
        }
        if (wanted(now) && now >= askAt) {
            askAt = now + pauseNanos;
            asked.clear();
            ask(hosts());
        }
    }

    /**
     * A fresh data folder asks to become a member until it is a voter; a replica that an operator removed does not ask
     * again. Where lost voters are replaced by themselves, one that was only cut off asks too: it can't know that it was
     * replaced, as nobody sends it anything any more.
     */
    private boolean wanted(long now) {
        Membership membership = node.membership();
        boolean fresh = membership.equals(Membership.EMPTY) || membership.isLearner(node.self());
        boolean forgotten = parts.lostAfter != null && now - leaderSeenAt >= 2 * pauseNanos;
        return fresh || forgotten;
    }

    private Collection<Address> hosts() {
        Set<Address> hosts = new LinkedHashSet<>(parts.members.get());
        learned.forEach(each -> addAddress(each, hosts));
        return hosts;
    }

    private void addAddress(HostId host, Collection<Address> to) {
        Address address = parts.addresses.apply(host);
        if (address != null && !host.equals(node.self().host())) {
            to.add(address);
        }
    }

    private void ask(Collection<Address> hosts) {
        List<Address> now = new ArrayList<>(hosts);
        now.removeIf(each -> !asked.add(each));
        if (!now.isEmpty()) {
            log.asks(now);
            sender.askToJoin(now, node.self(), answers);
        }
    }

    /** A member that was asked names the leader, which is asked at once. */
    void answered(RaftChannels.JoinAnswer answer, long now) {
        answer.membership().all().forEach(each -> learn(each.host()));
        if (answer.leader() != null) {
            learn(answer.leader().host());
        }
        if (wanted(now)) {
            ask(hosts());
        }
    }

    /** Somebody writes to the replica that this host had before its disk was lost, and so is a member. */
    void sentToPredecessor(ReplicaId from, long now) {
        if (learn(from.host()) && wanted(now)) {
            ask(hosts());
        }
    }

    /** Returns whether it is new. */
    private boolean learn(HostId host) {
        if (learned.size() >= MAX_LEARNED) {
            learned.clear();
        }
        return learned.add(host);
    }
}
