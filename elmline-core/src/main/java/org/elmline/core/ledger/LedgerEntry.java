package org.elmline.core.ledger;

import java.util.List;

import org.elmline.core.common.LengthClass;
import org.elmline.core.placement.PrefillBacklog;
import org.elmline.core.route.Grant;

/** One open grant on one engine. Changed only by its {@link EngineLedger}. */
final class LedgerEntry {
    private Grant grant;
    private final LengthClass lengthClass;
    private final List<Long> prefixHashes;
    private final long cost;
    private long eligibleAtNanos;
    private final long deadlineNanos;
    private long finishedWorkBefore;
    private boolean awaitingFirstToken;
    private boolean prefillFinished;
    private PrefillBacklog.Prefill prefill;

    LedgerEntry(Grant grant, List<Long> prefixHashes, long cost, long placedAt, long deadline, long workBefore) {
        this.grant = grant;
        this.lengthClass = LengthClass.of(grant.promptTokens());
        this.prefixHashes = prefixHashes;
        this.cost = cost;
        this.eligibleAtNanos = placedAt;
        this.deadlineNanos = deadline;
        this.finishedWorkBefore = workBefore;
        this.awaitingFirstToken = grant.awaitingFirstToken();
    }

    Grant grant() {
        return grant;
    }

    LengthClass lengthClass() {
        return lengthClass;
    }

    List<Long> prefixHashes() {
        return prefixHashes;
    }

    /** Prefill work of the prompt in tokens, see {@link org.elmline.core.placement.PrefillCost}. */
    long cost() {
        return cost;
    }

    /** Time from which the engine may begin the prefill. */
    long eligibleAtNanos() {
        return eligibleAtNanos;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    /** Work, of all ever placed on the engine, that was finished when it could begin this prefill. */
    long finishedWorkBefore() {
        return finishedWorkBefore;
    }

    boolean awaitingFirstToken() {
        return awaitingFirstToken;
    }

    /** Makes the prompt eligible for prefill; false when it is eligible already or its prefill has ended. */
    boolean beginPrefill(long now, long finishedWork) {
        if (awaitingFirstToken || prefillFinished) {
            return false;
        }
        awaitingFirstToken = true;
        eligibleAtNanos = now;
        finishedWorkBefore = finishedWork;
        return true;
    }

    /** Its position in the engine's estimated backlog; null until it is eligible for prefill. */
    PrefillBacklog.Prefill prefill() {
        return prefill;
    }

    void setPrefill(PrefillBacklog.Prefill prefill) {
        this.prefill = prefill;
    }

    void finishPrefill() {
        awaitingFirstToken = false;
        prefillFinished = true;
        grant = grant.afterFirstToken();
    }
}
