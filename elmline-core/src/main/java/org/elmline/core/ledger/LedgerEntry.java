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
    private long readFrom;
    private final long deadline;
    private long workBefore;
    private boolean awaitingFirstToken;
    private boolean read;
    private PrefillBacklog.Prefill prefill;

    LedgerEntry(Grant grant, List<Long> prefixHashes, long cost, long placedAt, long deadline, long workBefore) {
        this.grant = grant;
        this.lengthClass = LengthClass.of(grant.promptTokens());
        this.prefixHashes = prefixHashes;
        this.cost = cost;
        this.readFrom = placedAt;
        this.deadline = deadline;
        this.workBefore = workBefore;
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
    long readFrom() {
        return readFrom;
    }

    long deadline() {
        return deadline;
    }

    /** Work that the engine had finished, of all ever placed, when it could begin to read this prompt. */
    long workBefore() {
        return workBefore;
    }

    boolean awaitingFirstToken() {
        return awaitingFirstToken;
    }

    /** The engine may read it from now on; false when it may already, or has. */
    boolean begin(long now, long finishedWork) {
        if (awaitingFirstToken || read) {
            return false;
        }
        awaitingFirstToken = true;
        readFrom = now;
        workBefore = finishedWork;
        return true;
    }

    /** Its place in the engine's estimated backlog; null for one that is not read yet. */
    PrefillBacklog.Prefill prefill() {
        return prefill;
    }

    void reads(PrefillBacklog.Prefill place) {
        prefill = place;
    }

    void finishReading() {
        awaitingFirstToken = false;
        read = true;
        grant = grant.started();
    }
}
