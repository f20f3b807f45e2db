package org.elmline.daemon.caller;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Refusal;
import org.elmline.core.route.Grant;

/** Result of placing an attempt. */
sealed interface PlacementResult {
    /** The owner has reserved memory on an engine. */
    record Placed(Grant grant, HostId owner) implements PlacementResult {}

    /** Nothing is reserved anywhere. */
    record Refused(Refusal refusal) implements PlacementResult {}
}
