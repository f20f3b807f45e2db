package org.elmline.core.admission;

/**
 * What a waiting call needs of engines, for a forecast. Times are in milliseconds.
 *
 * @param isSplit whether several engines prefill the prompt, each a part
 * @param members engines that prefill it
 * @param partMillis prefill on each of them
 * @param engineMillis time from its beginning to its last token
 * @param memoryTokens KV memory that it holds for this time, in tokens
 * @param aimMillis time left for it to begin and meet its aim; later it yields to calls that can meet theirs
 */
public record CallDemand(
        boolean isSplit, int members, double partMillis, double engineMillis, long memoryTokens, double aimMillis) {}
