package org.elmline.daemon.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.control.CommandResult;
import org.elmline.core.control.LeaseAnswer;
import org.elmline.core.control.LeaseDecision;
import org.elmline.core.control.LeaseRequest;

/** Answers lease renewals of entries. Thread-safe. */
final class LeaseService {
    private static final int MAX_JOIN_ATTEMPTS = 2;

    private final CommandLog log;
    private final LeadershipMonitor leadership;
    private final MonotonicClock clock;
    private final Counter grantedLeases;
    private final Counter rejectedRenewals;

    LeaseService(CommandLog log, LeadershipMonitor leadership, MonotonicClock clock, MetricRegistry metrics) {
        this.log = log;
        this.leadership = leadership;
        this.clock = clock;
        this.grantedLeases = metrics.counter("control.lease.granted");
        this.rejectedRenewals = metrics.counter("control.lease.turned-away");
    }

    CompletionStage<LeaseAnswer> renew(LeaseRequest request) {
        return renew(request, 0).thenApply(this::countAnswer);
    }

    private CompletionStage<LeaseAnswer> renew(LeaseRequest request, int attempt) {
        LeadershipStatus status = log.leadershipStatus();
        Optional<LeaseDecision> decision = leadership.withLeases(leaseManager ->
                leaseManager.renew(request, clock.nanos(), status.leaseUntilNanos(), status.controlHosts()));
        if (decision.isEmpty()) {
            return completed(new LeaseAnswer.NotLeader(status.isLeader() ? null : status.leader()));
        }
        if (decision.get() instanceof LeaseDecision.Answer answer) {
            return completed(answer.answer());
        }
        if (attempt == MAX_JOIN_ATTEMPTS) {
            return completed(new LeaseAnswer.NotLeader(null));
        }
        LeaseDecision.Join join = (LeaseDecision.Join) decision.get();
        return log.propose(join.command()).thenCompose(result -> afterJoin(request, attempt, result));
    }

    private CompletionStage<LeaseAnswer> afterJoin(LeaseRequest request, int attempt, ProposalOutcome result) {
        if (result instanceof ProposalOutcome.Applied applied) {
            return applied.result() instanceof CommandResult.HostReplaced replaced
                    ? completed(new LeaseAnswer.Replaced(replaced.by()))
                    : renew(request, attempt + 1);
        }
        return completed(new LeaseAnswer.NotLeader(
                result instanceof ProposalOutcome.NotLeader notLeader ? notLeader.leader() : null));
    }

    private LeaseAnswer countAnswer(LeaseAnswer answer) {
        (answer instanceof LeaseAnswer.Granted ? grantedLeases : rejectedRenewals).inc();
        return answer;
    }

    private static CompletionStage<LeaseAnswer> completed(LeaseAnswer answer) {
        return CompletableFuture.completedFuture(answer);
    }
}
