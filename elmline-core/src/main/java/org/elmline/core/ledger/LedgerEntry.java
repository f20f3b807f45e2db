package org.elmline.core.ledger;

import java.util.List;

import org.elmline.core.common.LengthClass;
import org.elmline.core.placement.PrefillBacklog;
import org.elmline.core.route.Grant;

/** One open grant on one engine. Changed by its {@link EngineLedger} only. */
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

    /** Work of reading the prompt, see {@link org.elmline.core.placement.PrefillCost}. */
    long cost() {
        return cost;
    }

    /** When the engine could begin to read the prompt. */
    long eligibleAtNanos() {
        return eligibleAtNanos;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    /** Work that the engine had finished, of all ever placed, when it could begin to read this prompt. */
    long finishedWorkBefore() {
        return finishedWorkBefore;
    }

    boolean awaitingFirstToken() {
        return awaitingFirstToken;
    }

    /** The engine may read it from now on; false when it may already, or has. */
    boolean beginPrefill(long now, long finishedWork) {
        if (awaitingFirstToken || prefillFinished) {
            return false;
        }
        awaitingFirstToken = true;
        eligibleAtNanos = now;
        finishedWorkBefore = finishedWork;
        return true;
    }

    /** Its place in the engine's estimated backlog; null for one that is not read yet. */
    PrefillBacklog.Prefill prefill() {
        return prefill;
    }

    void setPrefill(PrefillBacklog.Prefill place) {
        prefill = place;
    }

    void finishPrefill() {
        awaitingFirstToken = false;
        prefillFinished = true;
        grant = grant.afterFirstToken();
    }
}
