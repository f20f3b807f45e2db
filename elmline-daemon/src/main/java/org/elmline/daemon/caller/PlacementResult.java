package org.elmline.daemon.caller;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Refusal;
import org.elmline.core.route.Grant;

/** Whether a place was found for an attempt. */
sealed interface PlacementResult {
    /** Memory is reserved on an engine, by this owner. */
    record Placed(Grant grant, HostId owner) implements PlacementResult {}

    /** Nothing is reserved anywhere. */
    record Refused(Refusal refusal) implements PlacementResult {}
}
