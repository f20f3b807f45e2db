package org.elmline.daemon.raft;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.Address;
import org.elmline.core.raft.MembershipChange;
import org.elmline.core.raft.ProposeOutcome;
import org.elmline.core.raft.RaftNode;
import org.elmline.core.raft.ReplicaId;
import org.jboss.logging.Logger;

/**
 * Tells operators how the membership of the log goes: who asks to join and what becomes of it, each step and its
 * refusal, and which voters are missing. Repetitions are left out. Used by the log's thread only.
 */
final class MembershipReporter {
    private static final Logger LOG = Logger.getLogger(MembershipReporter.class);
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Replicas of which the last line is remembered; each start with an empty disk brings a new one. */
    private static final int MAX_LAST_LINES = 256;

    private final RaftNode node;
    private final long missingTimeoutNanos;
    private final Map<ReplicaId, String> lastLines = new HashMap<>();
    private final Set<ReplicaId> missingReplicas = new HashSet<>();
    private volatile int missingVoterCount;

    /** @param missingNanos silence after which a voter counts as missing */
    MembershipReporter(RaftNode node, MetricRegistry metrics, long missingNanos) {
        this.node = node;
        this.missingTimeoutNanos = missingNanos;
        metrics.gauge("raft.voters.missing", () -> () -> missingVoterCount);
    }

    /** This replica asks these hosts to let it join. */
    void logJoinRequest(Collection<Address> hosts) {
        logOnce(node.self(), "asks to join at " + hosts + ", knows " + node.membership());
    }

    /** A replica asked here to join, and nothing is done about it. */
    void logJoinRefused(ReplicaId joining, boolean known) {
        if (joining.equals(node.self())) {
            return;
        }
        logOnce(joining, "asks to join: " + (known ? "not the leader, which is " + node.leader() : "host unknown"));
    }

    /** A step was proposed. */
    void logChange(MembershipChange change, ProposeOutcome outcome) {
        logOnce(change.replica(), change + ": " + outcome);
    }

    /** Looks at who is missing, which only the leader knows. */
    void checkMissingVoters() {
        Set<ReplicaId> now = new HashSet<>();
        if (node.isLeader()) {
            for (ReplicaId each : node.membership().voters()) {
                long silent = node.nanosSinceContact(each);
                if (each.equals(node.self()) || silent < missingTimeoutNanos) {
                    continue;
                }
                now.add(each);
                if (missingReplicas.add(each)) {
                    LOG.warnf("voter %s missing, silent for %d ms", each, silent / NANOS_PER_MILLI);
                }
            }
        }
        missingReplicas.retainAll(now);
        missingVoterCount = now.size();
    }

    private void logOnce(ReplicaId about, String line) {
        if (lastLines.size() >= MAX_LAST_LINES) {
            lastLines.clear();
        }
        if (!line.equals(lastLines.put(about, line))) {
            LOG.infof("replica %s term %d: %s %s", node.self(), node.term(), about, line);
        }
    }
}
