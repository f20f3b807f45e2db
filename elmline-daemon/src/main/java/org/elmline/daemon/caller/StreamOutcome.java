package org.elmline.daemon.caller;

import org.elmline.core.common.Ran;

/** How reading one stream ended. */
sealed interface StreamOutcome {
    /** The caller has the whole answer. */
    record Complete() implements StreamOutcome {}

    /** The time is up. */
    record DeadlineExceeded() implements StreamOutcome {}

    /** The stream broke; {@code reachable} tells whether the engine may still hold it. */
    record Broken(Ran ran, boolean reachable, String why) implements StreamOutcome {}
}
