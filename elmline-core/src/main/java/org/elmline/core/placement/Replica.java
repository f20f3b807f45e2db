package org.elmline.core.placement;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.LengthClass;

/** One engine's state as recorded in its owner's ledger, which is exact. Read under the owner's lock of that model. */
public interface Replica {
    BackendServerId id();

    /** KV memory of the engine, in tokens. */
    long capacityKvTokens();

    /** KV tokens reserved for open attempts and exports. */
    long reservedKvTokens();

    /**
     * Prefill work placed on this engine and not yet done, as estimated by a {@link PrefillBacklog}. In tokens of a
     * short prompt, so that a long prompt counts for more than its length.
     */
    long prefillBacklogTokens();

    /** The part of {@link #prefillBacklogTokens()} that is due to prompts of one class. */
    long prefillBacklogTokens(LengthClass lengthClass);

    int openStreams();

    int openStreams(LengthClass lengthClass);

    /** Prompt tokens prefilled per second, as measured from the engine's answers, or as announced before the first. */
    double prefillTokensPerSecond();

    /** Leading prompt tokens of the demand that are probably in the engine's prefix cache; 0 if not known. */
    int cachedTokens(Demand demand);

    default long freeKvTokens() {
        return capacityKvTokens() - reservedKvTokens();
    }
}
