package org.elmline.daemon.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.control.ClaimAnswer;
import org.elmline.core.control.ClaimBatch;
import org.elmline.core.control.ClaimBatcher;
import org.elmline.core.control.ClaimBegin;
import org.elmline.core.control.ClaimFinish;
import org.elmline.core.control.CommandResult;

/**
 * Begins and finishes claims through the log. Claims that arrive while earlier ones are synced share one command.
 * Thread-safe.
 */
final class ClaimService {
    private static final long OVERLOADED_RETRY_AFTER_MILLIS = 500;
    private static final int MAX_BATCH_CLAIMS = 256;
    private static final int MAX_PENDING_CLAIMS = 4096;

    private final CommandLog log;
    private final LongSupplier commandTimeMillis;
    private final Histogram batchSizes;
    private final ClaimBatcher<CompletableFuture<ClaimAnswer>> batcher =
            new ClaimBatcher<>(MAX_BATCH_CLAIMS, MAX_PENDING_CLAIMS);

    ClaimService(CommandLog log, LongSupplier commandTimeMillis, MetricRegistry metrics) {
        this.log = log;
        this.commandTimeMillis = commandTimeMillis;
        this.batchSizes = metrics.histogram("control.claims.batch");
    }

    CompletionStage<ClaimAnswer> begin(ClaimBegin claim) {
        return submit(claim, batcher::begin);
    }

    CompletionStage<ClaimAnswer> finish(ClaimFinish claim) {
        return submit(claim, batcher::finish);
    }

    private <C> CompletionStage<ClaimAnswer> submit(
            C claim, BiFunction<C, CompletableFuture<ClaimAnswer>, Boolean> offer) {
        LeadershipStatus status = log.leadershipStatus();
        if (!status.isLeader()) {
            rejectPending(status);
            return CompletableFuture.completedFuture(new ClaimAnswer.NotLeader(status.leader()));
        }
        CompletableFuture<ClaimAnswer> waiter = new CompletableFuture<>();
        boolean accepted;
        synchronized (batcher) {
            accepted = offer.apply(claim, waiter);
        }
        if (!accepted) {
            return CompletableFuture.completedFuture(new ClaimAnswer.Overloaded(OVERLOADED_RETRY_AFTER_MILLIS));
        }
        proposeNext();
        return waiter;
    }

    /**
     * Answers the pending claims once this host no longer leads, so that they don't wait for the result of an earlier
     * batch.
     */
    private void rejectPending(LeadershipStatus status) {
        List<CompletableFuture<ClaimAnswer>> pending;
        synchronized (batcher) {
            pending = batcher.drainWaiters();
        }
        pending.forEach(each -> each.complete(new ClaimAnswer.NotLeader(status.leader())));
    }

    private void proposeNext() {
        List<ClaimBatch<CompletableFuture<ClaimAnswer>>> ready;
        synchronized (batcher) {
            ready = batcher.nextBatches(commandTimeMillis.getAsLong());
        }
        for (ClaimBatch<CompletableFuture<ClaimAnswer>> each : ready) {
            batchSizes.update(each.waiters().size());
            log.propose(each.command()).thenAccept(result -> onProposalResult(each, result));
        }
    }

    private void onProposalResult(ClaimBatch<CompletableFuture<ClaimAnswer>> batch, ProposalOutcome result) {
        synchronized (batcher) {
            batcher.complete(batch);
        }
        List<ClaimAnswer> answers = toAnswers(batch.waiters().size(), result);
        for (int i = 0; i < answers.size(); i++) {
            batch.waiters().get(i).complete(answers.get(i));
        }
        proposeNext();
    }

    private static List<ClaimAnswer> toAnswers(int count, ProposalOutcome result) {
        List<ClaimAnswer> answers = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            answers.add(toAnswer(i, result));
        }
        return answers;
    }

    private static ClaimAnswer toAnswer(int index, ProposalOutcome result) {
        if (result instanceof ProposalOutcome.NotLeader notLeader) {
            return new ClaimAnswer.NotLeader(notLeader.leader());
        }
        if (result instanceof ProposalOutcome.Overloaded) {
            return new ClaimAnswer.Overloaded(OVERLOADED_RETRY_AFTER_MILLIS);
        }
        if (result instanceof ProposalOutcome.Undecided undecided) {
            return new ClaimAnswer.Undecided(undecided.why());
        }
        CommandResult applied = ((ProposalOutcome.Applied) result).result();
        return new ClaimAnswer.Decided(
                ((CommandResult.ClaimsDecided) applied).outcomes().get(index));
    }
}
