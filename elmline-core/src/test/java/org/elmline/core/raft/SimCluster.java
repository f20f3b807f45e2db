package org.elmline.core.raft;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.elmline.core.common.HostId;

/**
 * A deterministic network of replicas that checks these invariants after each step: one leader per term; no replica
 * votes for two candidates in one term; no vote is from a replica that was never promoted; committed entries are never
 * lost and are applied in the same order on all replicas; no leader is elected before every lease of another has ended.
 * Messages are routed by host, as in the real network.
 */
final class SimCluster {
    static final long TIMEOUT_NANOS = Duration.ofMillis(100).toNanos();
    private static final long STEP_NANOS = Duration.ofMillis(5).toNanos();

    final List<SimHost> hosts = new ArrayList<>();
    int lossPercent;
    int repeatPercent;
    private final SplittableRandom random;
    private final RaftSettings settings;
    private final Set<String> cutLinks = new HashSet<>();
    private final List<Message> inFlight = new ArrayList<>();
    private final Map<Long, ReplicaId> leaderByTerm = new HashMap<>();
    private final Map<String, ReplicaId> votes = new HashMap<>();
    private final Set<ReplicaId> promotedReplicas = new HashSet<>();
    private final Map<Long, Entry> committedEntries = new HashMap<>();
    private final Map<Long, Long> appliedHashes = new HashMap<>();
    private final TreeMap<Long, Double> leaseEndByTerm = new TreeMap<>();
    private final TreeMap<Long, Long> electionTimeByTerm = new TreeMap<>();
    private long now;
    private long committedIndex;
    private Membership committedMembership;
    private int proposals;

    SimCluster(int size, long seed) {
        this(size, seed, RaftSettings.builder());
    }

    SimCluster(int size, long seed, RaftSettings.Builder bounds) {
        random = new SplittableRandom(seed);
        settings = bounds.electionTimeout(Duration.ofNanos(TIMEOUT_NANOS))
                .heartbeat(Duration.ofMillis(20))
                .build();
        List<ReplicaId> ids = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            ids.add(new ReplicaId(HostId.of("h" + i), 1));
        }
        committedMembership = Membership.ofVoters(ids);
        promotedReplicas.addAll(ids);
        for (ReplicaId each : ids) {
            hosts.add(new SimHost(this, each, RestoredState.bootstrap(committedMembership), random.split()));
        }
        hosts.forEach(SimHost::start);
    }

    RaftSettings settings() {
        return settings;
    }

    long now() {
        return now;
    }

    long committedIndex() {
        return committedIndex;
    }

    Membership committedMembership() {
        return committedMembership;
    }

    /** Number of committed voters that have lost their data folder. */
    long lostVoters() {
        return committedMembership.voters().stream()
                .filter(each -> hosts.stream().noneMatch(host -> host.id.equals(each)))
                .count();
    }

    void run(long nanos) {
        for (long until = now + nanos; now < until; now += STEP_NANOS) {
            deliver();
            hosts.forEach(SimHost::processInputs);
            joinFreshReplicas();
        }
    }

    private void deliver() {
        List<Message> due = new ArrayList<>(inFlight);
        inFlight.clear();
        for (Message each : due) {
            int chance = random.nextInt(100);
            boolean cut = cutLinks.contains(each.from().host() + ">" + each.to().host());
            if (cut || chance < lossPercent) {
                continue;
            }
            boolean late = random.nextInt(4) == 0;
            if (late || chance < lossPercent + repeatPercent) {
                // Delivered again later, after other messages.
                inFlight.add(each);
            }
            if (!late) {
                hosts.stream()
                        .filter(host -> host.node != null
                                && host.id.host().equals(each.to().host()))
                        .forEach(host -> host.inbox.add(each));
            }
        }
    }

    private void joinFreshReplicas() {
        for (SimHost each : hosts) {
            SimHost leader = leader();
            if (leader == null) {
                return;
            }
            JoinPlanner.nextChange(leader.node.membership(), each.id, leader.node.isCaughtUp(each.id))
                    .filter(change -> each.isRunning())
                    .ifPresent(change -> {
                        leader.node.propose(leader.clock(), change);
                        promotedReplicas.addAll(leader.node.membership().voters());
                        leader.processReady();
                    });
        }
    }

    /** The running leader of the highest term, null when there is none. */
    SimHost leader() {
        SimHost best = null;
        for (SimHost each : hosts) {
            boolean leads = each.isRunning() && each.node.isLeader();
            if (leads && (best == null || each.node.term() > best.node.term())) {
                best = each;
            }
        }
        return best;
    }

    SimHost awaitLeader() {
        for (int i = 0; i < 200 && leader() == null; i++) {
            run(STEP_NANOS);
        }
        require(leader() != null, "a leader is elected");
        return leader();
    }

    /**
     * Proposes on every running host with the role of leader, including deposed ones that have not stepped down yet.
     */
    void propose() {
        for (SimHost each : hosts) {
            if (each.isRunning() && each.node.isLeader()) {
                each.node.propose(each.clock(), List.of(("command " + ++proposals).getBytes()));
                each.processReady();
            }
        }
    }

    void cutLink(int from, int to) {
        cutLinks.add(hosts.get(from).id.host() + ">" + hosts.get(to).id.host());
    }

    void isolate(int host) {
        for (int i = 0; i < hosts.size(); i++) {
            cutLink(host, i);
            cutLink(i, host);
        }
    }

    void heal() {
        cutLinks.clear();
        lossPercent = 0;
        repeatPercent = 0;
    }

    void send(Message message) {
        inFlight.add(message);
        if (message instanceof Message.VoteRequest request) {
            recordVote(request.from(), request.term(), request.from());
        }
        if (message instanceof Message.VoteResponse response && response.granted()) {
            recordVote(response.from(), response.term(), response.to());
        }
    }

    private void recordVote(ReplicaId voter, long term, ReplicaId candidate) {
        ReplicaId earlier = votes.putIfAbsent(voter + " in " + term, candidate);
        require(earlier == null || earlier.equals(candidate), voter + " voted twice in term " + term);
        require(promotedReplicas.contains(voter), voter + " voted with a data folder that was never promoted");
    }

    void recordApplied(SimHost host, Entry entry) {
        Entry earlier = committedEntries.putIfAbsent(entry.index(), entry);
        require(earlier == null || earlier.equals(entry), "committed entry " + earlier + " was replaced by " + entry);
        long hash = appliedHashes.computeIfAbsent(entry.index(), index -> host.appliedHash);
        require(hash == host.appliedHash, "all replicas apply the same entries in the same order");
        if (entry.index() > committedIndex) {
            committedIndex = entry.index();
            if (entry.kind() == EntryKind.MEMBERSHIP) {
                committedMembership = Membership.ofBytes(entry.data());
            }
        }
    }

    void checkRestored(SimHost host) {
        require(
                appliedHashes.get(host.appliedIndex) == host.appliedHash,
                "a restored snapshot has the committed state");
    }

    /** Checks the invariants of leadership and leases; called after each input of a host. */
    void checkInvariants(SimHost host) {
        if (host.node == null || !host.node.isLeader()) {
            return;
        }
        promotedReplicas.addAll(host.node.membership().voters());
        long term = host.node.term();
        if (leaderByTerm.putIfAbsent(term, host.id) == null) {
            electionTimeByTerm.put(term, now);
        }
        require(leaderByTerm.get(term).equals(host.id), "two leaders in term " + term);
        if (host.node.leaseUntilNanos() != RaftNode.NO_LEASE) {
            leaseEndByTerm.merge(term, host.simulationTime(host.node.leaseUntilNanos()), Math::max);
        }
        checkLeases(host.id, term);
    }

    /**
     * Checks that no lease extends past the election of another replica in a later term. A candidate that was suspended
     * may count late votes and become leader of an earlier term; that gives it no lease.
     */
    private void checkLeases(ReplicaId id, long term) {
        leaseEndByTerm
                .headMap(term)
                .forEach((earlier, end) -> require(
                        leaderByTerm.get(earlier).equals(id) || end <= electionTimeByTerm.get(term),
                        id + " leads term " + term + " before the lease of " + leaderByTerm.get(earlier)
                                + " has ended"));
        electionTimeByTerm
                .tailMap(term, false)
                .forEach((later, at) -> require(
                        leaderByTerm.get(later).equals(id) || leaseEndByTerm.getOrDefault(term, 0.0) <= at,
                        id + " holds a lease of term " + term + " while " + leaderByTerm.get(later) + " leads"));
    }

    void require(boolean condition, String invariant) {
        if (!condition) {
            throw new AssertionError(invariant + " (at " + now / 1_000_000 + " ms)");
        }
    }
}
