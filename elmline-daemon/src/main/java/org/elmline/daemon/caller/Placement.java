package org.elmline.daemon.caller;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Refusal;
import org.elmline.core.route.Grant;

/** Whether a place was found for an attempt. */
sealed interface Placement {
    /** Memory is reserved on an engine, by this owner. */
    record Found(Grant grant, HostId owner) implements Placement {}

    /** Nothing is reserved anywhere. */
    record None(Refusal refusal) implements Placement {}
}
