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
final class MembershipLog {
    private static final Logger LOG = Logger.getLogger(MembershipLog.class);
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Replicas of which the last line is remembered; each start with an empty disk brings a new one. */
    private static final int MAX_REMEMBERED = 256;

    private final RaftNode node;
    private final long missingNanos;
    private final Map<ReplicaId, String> lastLines = new HashMap<>();
    private final Set<ReplicaId> missing = new HashSet<>();
    private volatile int missingVoters;

    /** @param missingNanos silence after which a voter counts as missing */
    MembershipLog(RaftNode node, MetricRegistry metrics, long missingNanos) {
        this.node = node;
        this.missingNanos = missingNanos;
        metrics.gauge("raft.voters.missing", () -> () -> missingVoters);
    }

    /** This replica asks these hosts to let it join. */
    void asks(Collection<Address> hosts) {
        write(node.self(), "asks to join at " + hosts + ", knows " + node.membership());
    }

    /** A replica asked here to join, and nothing is done about it. */
    void turnedAway(ReplicaId joining, boolean known) {
        if (joining.equals(node.self())) {
            return;
        }
        write(joining, "asks to join: " + (known ? "not the leader, which is " + node.leader() : "host unknown"));
    }

    /** A step was proposed. */
    void step(MembershipChange change, ProposeOutcome outcome) {
        write(change.replica(), change + ": " + outcome);
    }

    /** Looks at who is missing, which only the leader knows. */
    void look() {
        Set<ReplicaId> now = new HashSet<>();
        if (node.isLeader()) {
            for (ReplicaId each : node.membership().voters()) {
                long silent = node.silentNanos(each);
                if (each.equals(node.self()) || silent < missingNanos) {
                    continue;
                }
                now.add(each);
                if (missing.add(each)) {
                    LOG.warnf("voter %s missing, silent for %d ms", each, silent / NANOS_PER_MILLI);
                }
            }
        }
        missing.retainAll(now);
        missingVoters = now.size();
    }

    private void write(ReplicaId about, String line) {
        if (lastLines.size() >= MAX_REMEMBERED) {
            lastLines.clear();
        }
        if (!line.equals(lastLines.put(about, line))) {
            LOG.infof("replica %s term %d: %s %s", node.self(), node.term(), about, line);
        }
    }
}
