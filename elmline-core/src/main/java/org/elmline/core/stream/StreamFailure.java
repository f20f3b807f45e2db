package org.elmline.core.stream;

import org.elmline.core.common.Ran;

/**
 * How an attempt failed, and the state of its request.
 *
 * @param ran whether the attempt ran on its backend server
 * @param repeatable whether running it twice does no harm; true for prompts, false for calls such as a payment
 * @param engineReachable whether the same engine may still hold the stream
 * @param deliveredPieces pieces delivered to the caller
 * @param resumes times that this attempt's stream was resumed without a new piece
 * @param attempts attempts so far, this one included
 * @param remainingMillis milliseconds to the request's deadline
 */
public record StreamFailure(
        Ran ran,
        boolean repeatable,
        boolean engineReachable,
        int deliveredPieces,
        int resumes,
        int attempts,
        long remainingMillis) {}
