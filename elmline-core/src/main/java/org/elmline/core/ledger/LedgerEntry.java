package org.elmline.core.ledger;

import java.util.List;

import org.elmline.core.common.LengthClass;
import org.elmline.core.route.Grant;

/** One open grant on one engine. Changed by its {@link EngineLedger} only. */
final class LedgerEntry {
    private final Grant grant;
    private final LengthClass lengthClass;
    private final List<Long> prefixHashes;
    private final long cost;
    private final long placedAt;
    private final long deadline;
    private final long workBefore;
    private boolean awaitingFirstToken;

    LedgerEntry(Grant grant, List<Long> prefixHashes, long cost, long placedAt, long deadline, long workBefore) {
        this.grant = grant;
        this.lengthClass = LengthClass.of(grant.promptTokens());
        this.prefixHashes = prefixHashes;
        this.cost = cost;
        this.placedAt = placedAt;
        this.deadline = deadline;
        this.workBefore = workBefore;
        this.awaitingFirstToken = grant.awaitingFirstToken();
    }

    Grant grant() {
        return awaitingFirstToken ? grant : grant.started();
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

    long placedAt() {
        return placedAt;
    }

    long deadline() {
        return deadline;
    }

    /** Work that the engine had finished, of all ever placed, when this prompt was placed. */
    long workBefore() {
        return workBefore;
    }

    boolean awaitingFirstToken() {
        return awaitingFirstToken;
    }

    void firstTokenCame() {
        awaitingFirstToken = false;
    }
}
