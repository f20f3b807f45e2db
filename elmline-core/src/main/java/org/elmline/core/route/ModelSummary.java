package org.elmline.core.route;

import java.util.List;

import org.elmline.core.common.LengthClass;
import org.elmline.core.common.ModelName;

/**
 * State of an owner's engines of one model.
 *
 * @param readyReplicas engines that take new work
 * @param waitMillis milliseconds until the best engine would begin the prefill of a prompt, one value for each
 *     {@link LengthClass} in its order
 * @param prefillTokensPerSecond measured speed of a typical engine
 * @param freeKvTokens largest free memory on any one engine, in tokens
 * @param groupKvTokens free memory of all its engines together, in tokens
 * @param prefixes first-block hashes estimated to be cached on some engine, shortened to 32 bits
 */
public record ModelSummary(
        ModelName model,
        int readyReplicas,
        List<Integer> waitMillis,
        int prefillTokensPerSecond,
        long freeKvTokens,
        long groupKvTokens,
        List<Integer> prefixes) {
    public ModelSummary {
        waitMillis = List.copyOf(waitMillis);
        prefixes = List.copyOf(prefixes);
    }

    /** Shortens a prefix block's hash to the 32 bits used in {@link #prefixes}. */
    public static int shortHash(long blockHash) {
        return (int) (blockHash ^ (blockHash >>> Integer.SIZE));
    }

    public int waitMillis(LengthClass lengthClass) {
        return waitMillis.get(lengthClass.ordinal());
    }
}
