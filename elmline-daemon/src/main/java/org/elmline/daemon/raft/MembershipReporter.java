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
 * Logs changes of the log's membership for operators: join requests and their outcome, each membership change and its
 * rejection, and missing voters. Repeated lines are left out. Used by the log's thread only; the gauge is read by any
 * thread.
 */
final class MembershipReporter {
    private static final Logger LOG = Logger.getLogger(MembershipReporter.class);
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Limit on replicas whose last line is kept; each start with an empty disk brings a new replica. */
    private static final int MAX_LAST_LINES = 256;

    private final RaftNode node;
    private final long missingTimeoutNanos;
    private final Map<ReplicaId, String> lastLines = new HashMap<>();
    private final Set<ReplicaId> missingReplicas = new HashSet<>();
    private volatile int missingVoterCount;

    /** @param missingTimeoutNanos time without contact after which a voter counts as missing */
    MembershipReporter(RaftNode node, MetricRegistry metrics, long missingTimeoutNanos) {
        this.node = node;
        this.missingTimeoutNanos = missingTimeoutNanos;
        metrics.gauge("raft.voters.missing", () -> () -> missingVoterCount);
    }

    /** Logs that this replica sends join requests to these hosts. */
    void logJoinRequest(Collection<Address> hosts) {
        logOnce(node.self(), "requests to join at " + hosts + ", known membership " + node.membership());
    }

    /** Logs a join request of a replica that is not acted upon. */
    void logJoinRefused(ReplicaId joining, boolean known) {
        if (joining.equals(node.self())) {
            return;
        }
        logOnce(
                joining,
                "join request ignored: " + (known ? "not the leader, which is " + node.leader() : "host unknown"));
    }

    /** Logs a proposed membership change and its outcome. */
    void logChange(MembershipChange change, ProposeOutcome outcome) {
        logOnce(change.replica(), change + ": " + outcome);
    }

    /** Updates the missing voters, which only the leader can detect. */
    void checkMissingVoters() {
        Set<ReplicaId> missing = new HashSet<>();
        if (node.isLeader()) {
            for (ReplicaId each : node.membership().voters()) {
                long sinceContactNanos = node.nanosSinceContact(each);
                if (each.equals(node.self()) || sinceContactNanos < missingTimeoutNanos) {
                    continue;
                }
                missing.add(each);
                if (missingReplicas.add(each)) {
                    LOG.warnf("voter %s is missing: no contact for %d ms", each, sinceContactNanos / NANOS_PER_MILLI);
                }
            }
        }
        missingReplicas.retainAll(missing);
        missingVoterCount = missing.size();
    }

    private void logOnce(ReplicaId replica, String line) {
        if (lastLines.size() >= MAX_LAST_LINES) {
            lastLines.clear();
        }
        if (!line.equals(lastLines.put(replica, line))) {
            LOG.infof("replica %s term %d: %s %s", node.self(), node.term(), replica, line);
        }
    }
}
