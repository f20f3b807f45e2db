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
 * Sends the join requests of a replica that is no voter, or may have been replaced as one. Each answer names the leader
 * and all members, so that one reachable member is enough, whether the settings name it or not. Used by the log's thread
 * only.
 */
final class JoinRequester {
    /** Limit on hosts learned from answers and messages; beyond it all are dropped, as most of them are outdated. */
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

    /** @param answerCallback receives each answer on the network's thread and passes it to {@link #onAnswer} */
    JoinRequester(
            RaftDriver.Builder configuration,
            RaftNode node,
            RaftMessageSender sender,
            MembershipReporter membershipReporter,
            Consumer<RaftChannels.JoinAnswer> answerCallback) {
        this.configuration = configuration;
        this.node = node;
        this.sender = sender;
        this.membershipReporter = membershipReporter;
        this.answerCallback = answerCallback;
        this.requestIntervalNanos = configuration.settings.electionTimeout().toNanos();
        this.nextRequestNanos = configuration.clock.nanos();
        this.leaderSeenNanos = nextRequestNanos;
    }

    /** Sends join requests, once per election timeout. */
    void tick(long now) {
        if (node.leader() != null) {
            leaderSeenNanos = now;
        }
        if (now < nextRequestNanos) {
            return;
        }
        if (isNew()) {
            startRound(now);
            request(knownAddresses());
        } else if (mayBeReplaced(now)) {
            startRound(now);
            request(oneOf(knownAddresses()));
        }
    }

    private void startRound(long now) {
        nextRequestNanos = now + requestIntervalNanos;
        requestedAddresses.clear();
    }

    /**
     * Whether this replica has a new data folder and is no voter yet. It requests to join until it is; one that an
     * operator removed does not.
     */
    private boolean isNew() {
        Membership membership = node.membership();
        return membership.equals(Membership.EMPTY) || membership.isLearner(node.self());
    }

    /**
     * Whether this replica may have been replaced while it was partitioned: no member sends messages to a replaced
     * replica. After a loss of all power every voter is without a leader for seconds, so that each sends one request at a
     * time; to all hosts they would be a third of all messages while a leader is elected.
     */
    private boolean mayBeReplaced(long now) {
        return configuration.voterLostTimeout != null && now - leaderSeenNanos >= 2 * requestIntervalNanos;
    }

    private Collection<Address> oneOf(Collection<Address> hosts) {
        List<Address> all = List.copyOf(hosts);
        return all.isEmpty() ? all : List.of(all.get(configuration.random.nextInt(all.size())));
    }

    private Collection<Address> knownAddresses() {
        Set<Address> hosts = new LinkedHashSet<>(configuration.joinAddresses.get());
        learnedHosts.forEach(each -> addAddress(each, hosts));
        return hosts;
    }

    private void addAddress(HostId host, Collection<Address> addresses) {
        Address address = configuration.addresses.apply(host);
        if (address != null && !host.equals(node.self().host())) {
            addresses.add(address);
        }
    }

    private void request(Collection<Address> hosts) {
        List<Address> targets = new ArrayList<>(hosts);
        targets.removeIf(each -> !requestedAddresses.add(each));
        if (!targets.isEmpty()) {
            membershipReporter.logJoinRequest(targets);
            sender.requestJoin(targets, node.self(), answerCallback);
        }
    }

    /** Handles an answer; the leader it names gets a join request at once. */
    void onAnswer(RaftChannels.JoinAnswer answer, long now) {
        answer.membership().all().forEach(each -> addLearnedHost(each.host()));
        if (answer.leader() != null) {
            addLearnedHost(answer.leader().host());
        }
        if (isNew()) {
            request(knownAddresses());
        } else if (mayBeReplaced(now) && answer.leader() != null) {
            List<Address> leaderAddress = new ArrayList<>();
            addAddress(answer.leader().host(), leaderAddress);
            request(leaderAddress);
        }
    }

    /** Handles a message to the replica that this host had before it lost its disk: its sender is a member. */
    void onMessageToPredecessor(ReplicaId from) {
        if (addLearnedHost(from.host()) && isNew()) {
            request(knownAddresses());
        }
    }

    /** Returns whether the host was unknown before. */
    private boolean addLearnedHost(HostId host) {
        if (learnedHosts.size() >= MAX_LEARNED_HOSTS) {
            learnedHosts.clear();
        }
        return learnedHosts.add(host);
    }
}
