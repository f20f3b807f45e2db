package org.elmline.daemon.caller;

import org.elmline.core.common.Ran;

/** How reading one stream ended. */
sealed interface StreamEnding {
    /** The caller has the whole answer. */
    record Whole() implements StreamEnding {}

    /** The time is up. */
    record Expired() implements StreamEnding {}

    /** The stream broke; {@code reachable} tells whether the engine may still hold it. */
    record Broken(Ran ran, boolean reachable, String why) implements StreamEnding {}
}
