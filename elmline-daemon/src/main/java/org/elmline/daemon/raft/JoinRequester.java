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
final class JoinRequester {
    /** Hosts learned from others; more are those of long ago. */
    private static final int MAX_LEARNED_HOSTS = 64;

    private final RaftDriver.Builder configuration;
    private final RaftNode node;
    private final RaftMessageSender sender;
    private final MembershipReporter membershipReporter;
    private final Consumer<RaftChannels.JoinAnswer> answerCallback;
    private final long requestIntervalNanos;
    private final Set<HostId> learnedHosts = new LinkedHashSet<>();
    private final Set<Address> requestedAddresses = new LinkedHashSet<>();
    private long nextRequestNanos;
    private long leaderSeenNanos;

    /** @param answers takes each answer on the network's thread, and hands it to {@link #onAnswer} */
    JoinRequester(
            RaftDriver.Builder parts,
            RaftNode node,
            RaftMessageSender sender,
            MembershipReporter log,
            Consumer<RaftChannels.JoinAnswer> answers) {
        this.configuration = parts;
        this.node = node;
        this.sender = sender;
        this.membershipReporter = log;
        this.answerCallback = answers;
        this.requestIntervalNanos = parts.settings.electionTimeout().toNanos();
        this.nextRequestNanos = parts.clock.nanos();
        this.leaderSeenNanos = nextRequestNanos;
    }

    /** Asks all known hosts, once in each election timeout. */
    void tick(long now) {
        if (node.leader() != null) {
            leaderSeenNanos = now;
        }
        if (shouldJoin(now) && now >= nextRequestNanos) {
            nextRequestNanos = now + requestIntervalNanos;
            requestedAddresses.clear();
            request(knownAddresses());
        }
    }

    /**
     * A fresh data folder asks to become a member until it is a voter; a replica that an operator removed does not ask
     * again. Where lost voters are replaced by themselves, one that was only cut off asks too: it can't know that it was
     * replaced, as nobody sends it anything any more.
     */
    private boolean shouldJoin(long now) {
        Membership membership = node.membership();
        boolean fresh = membership.equals(Membership.EMPTY) || membership.isLearner(node.self());
        boolean forgotten = configuration.voterLostTimeout != null && now - leaderSeenNanos >= 2 * requestIntervalNanos;
        return fresh || forgotten;
    }

    private Collection<Address> knownAddresses() {
        Set<Address> hosts = new LinkedHashSet<>(configuration.joinAddresses.get());
        learnedHosts.forEach(each -> addAddress(each, hosts));
        return hosts;
    }

    private void addAddress(HostId host, Collection<Address> to) {
        Address address = configuration.addresses.apply(host);
        if (address != null && !host.equals(node.self().host())) {
            to.add(address);
        }
    }

    private void request(Collection<Address> hosts) {
        List<Address> now = new ArrayList<>(hosts);
        now.removeIf(each -> !requestedAddresses.add(each));
        if (!now.isEmpty()) {
            membershipReporter.logJoinRequest(now);
            sender.requestJoin(now, node.self(), answerCallback);
        }
    }

    /** A member that was asked names the leader, which is asked at once. */
    void onAnswer(RaftChannels.JoinAnswer answer, long now) {
        answer.membership().all().forEach(each -> addLearnedHost(each.host()));
        if (answer.leader() != null) {
            addLearnedHost(answer.leader().host());
        }
        if (shouldJoin(now)) {
            request(knownAddresses());
        }
    }

    /** Somebody writes to the replica that this host had before its disk was lost, and so is a member. */
    void onMessageToPredecessor(ReplicaId from, long now) {
        if (addLearnedHost(from.host()) && shouldJoin(now)) {
            request(knownAddresses());
        }
    }

    /** Returns whether it is new. */
    private boolean addLearnedHost(HostId host) {
        if (learnedHosts.size() >= MAX_LEARNED_HOSTS) {
            learnedHosts.clear();
        }
        return learnedHosts.add(host);
    }
}
