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
 * Sends the join requests of a replica that is no voter. Each answer names the leader and all members, so that one
 * reachable member is enough, whether the settings name it or not. Used by the log's thread only.
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

    /** Sends join requests to all known hosts, once per election timeout. */
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
     * Whether this replica should join. One with a new data folder requests it until it is a voter; one that an
     * operator removed does not request it again. Where lost voters are replaced automatically, a replica without
     * contact to a leader for two election timeouts requests it too: it may have been replaced while partitioned, and
     * no member sends messages to a replaced replica.
     */
    private boolean shouldJoin(long now) {
        Membership membership = node.membership();
        boolean fresh = membership.equals(Membership.EMPTY) || membership.isLearner(node.self());
        boolean mayBeReplaced =
                configuration.voterLostTimeout != null && now - leaderSeenNanos >= 2 * requestIntervalNanos;
        return fresh || mayBeReplaced;
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
        if (shouldJoin(now)) {
            request(knownAddresses());
        }
    }

    /** Handles a message to the replica that this host had before it lost its disk: its sender is a member. */
    void onMessageToPredecessor(ReplicaId from, long now) {
        if (addLearnedHost(from.host()) && shouldJoin(now)) {
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
