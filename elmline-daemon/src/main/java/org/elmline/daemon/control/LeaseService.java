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

/** Answers entries that renew their leases. */
final class LeaseService {
    private static final int MAX_ROUNDS = 2;

    private final CommandLog log;
    private final LeaderWatch watch;
    private final MonotonicClock clock;
    private final Counter granted;
    private final Counter turnedAway;

    LeaseService(CommandLog log, LeaderWatch watch, MonotonicClock clock, MetricRegistry metrics) {
        this.log = log;
        this.watch = watch;
        this.clock = clock;
        this.granted = metrics.counter("control.lease.granted");
        this.turnedAway = metrics.counter("control.lease.turned-away");
    }

    CompletionStage<LeaseAnswer> renew(LeaseRequest request) {
        return renew(request, 0).thenApply(this::count);
    }

    private CompletionStage<LeaseAnswer> renew(LeaseRequest request, int round) {
        Standing standing = log.standing();
        Optional<LeaseDecision> decision = watch.withKeeper(
                keeper -> keeper.renew(request, clock.nanos(), standing.leaseUntilNanos(), standing.controlHosts()));
        if (decision.isEmpty()) {
            return done(new LeaseAnswer.NotLeader(standing.leads() ? null : standing.leader()));
        }
        if (decision.get() instanceof LeaseDecision.Answer answer) {
            return done(answer.answer());
        }
        if (round == MAX_ROUNDS) {
            return done(new LeaseAnswer.NotLeader(null));
        }
        LeaseDecision.Join join = (LeaseDecision.Join) decision.get();
        return log.propose(join.command()).thenCompose(result -> afterJoin(request, round, result));
    }

    private CompletionStage<LeaseAnswer> afterJoin(LeaseRequest request, int round, Proposed result) {
        if (result instanceof Proposed.Applied applied) {
            return applied.result() instanceof CommandResult.HostReplaced replaced
                    ? done(new LeaseAnswer.Replaced(replaced.by()))
                    : renew(request, round + 1);
        }
        return done(new LeaseAnswer.NotLeader(result instanceof Proposed.NotLeader not ? not.leader() : null));
    }

    private LeaseAnswer count(LeaseAnswer answer) {
        (answer instanceof LeaseAnswer.Granted ? granted : turnedAway).inc();
        return answer;
    }

    private static CompletionStage<LeaseAnswer> done(LeaseAnswer answer) {
        return CompletableFuture.completedFuture(answer);
    }
}
