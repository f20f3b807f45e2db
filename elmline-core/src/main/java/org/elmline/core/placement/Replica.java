package org.elmline.core.placement;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.LengthClass;

/** An engine as its owner knows it from its own exact ledger. Read under the owner's lock of that model. */
public interface Replica {
    BackendServerId id();

    /** KV memory of the engine, in tokens. */
    long capacityKvTokens();

    /** KV tokens promised to open attempts and exports. */
    long reservedKvTokens();

    /**
     * Prefill work placed here and not yet done, as estimated by a {@link PrefillBacklog}: in tokens of a short prompt, so
     * that a long one counts for more than its length.
     */
    long prefillBacklogTokens();

    /** The part of {@link #prefillBacklogTokens()} that belongs to prompts of a class. */
    long prefillBacklogTokens(LengthClass lengthClass);

    int openStreams();

    int openStreams(LengthClass lengthClass);

    /** Prompt tokens the engine reads a second, as measured from its answers, or as announced before any. */
    double prefillTokensPerSecond();

    /** Leading prompt tokens of the demand that the engine is believed to hold already; 0 when not known. */
    int cachedTokens(Demand demand);

    default long freeKvTokens() {
        return capacityKvTokens() - reservedKvTokens();
    }
}
