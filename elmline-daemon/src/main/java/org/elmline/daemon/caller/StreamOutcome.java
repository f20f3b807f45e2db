package org.elmline.daemon.caller;

import org.elmline.core.common.Ran;

/** How reading one stream ended. */
sealed interface StreamOutcome {
    /** The caller has the whole answer. */
    record Complete() implements StreamOutcome {}

    /** The deadline passed before the answer was complete. */
    record DeadlineExceeded() implements StreamOutcome {}

    /** The stream broke; {@code reachable} states whether the engine may still hold the attempt. */
    record Broken(Ran ran, boolean reachable, String why) implements StreamOutcome {}
}
