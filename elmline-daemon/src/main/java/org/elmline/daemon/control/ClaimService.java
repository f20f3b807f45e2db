package org.elmline.daemon.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;

import org.elmline.core.control.ClaimAnswer;
import org.elmline.core.control.ClaimBegin;
import org.elmline.core.control.ClaimFinish;
import org.elmline.core.control.Command;
import org.elmline.core.control.CommandResult;

/** Begins and finishes claims through the log. */
final class ClaimService {
    private static final long OVERLOADED_RETRY_MILLIS = 500;

    private final CommandLog log;
    private final LongSupplier wallMillis;

    ClaimService(CommandLog log, LongSupplier wallMillis) {
        this.log = log;
        this.wallMillis = wallMillis;
    }

    CompletionStage<ClaimAnswer> begin(ClaimBegin claim) {
        return propose(new Command.BeginClaims(wallMillis.getAsLong(), List.of(claim)));
    }

    CompletionStage<ClaimAnswer> finish(ClaimFinish claim) {
        return propose(new Command.FinishClaims(wallMillis.getAsLong(), List.of(claim)));
    }

    private CompletionStage<ClaimAnswer> propose(Command command) {
        Standing standing = log.standing();
        if (!standing.leads()) {
            return CompletableFuture.completedFuture(new ClaimAnswer.NotLeader(standing.leader()));
        }
        return log.propose(command).thenApply(ClaimService::answer);
    }

    private static ClaimAnswer answer(Proposed result) {
        if (result instanceof Proposed.NotLeader not) {
            return new ClaimAnswer.NotLeader(not.leader());
        }
        if (result instanceof Proposed.Overloaded) {
            return new ClaimAnswer.Overloaded(OVERLOADED_RETRY_MILLIS);
        }
        if (result instanceof Proposed.Undecided undecided) {
            return new ClaimAnswer.Undecided(undecided.why());
        }
        CommandResult applied = ((Proposed.Applied) result).result();
        return new ClaimAnswer.Decided(
                ((CommandResult.ClaimsDecided) applied).outcomes().get(0));
    }
}
