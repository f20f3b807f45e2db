package org.elmline.core.route;

import java.util.List;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/** Sent by an entry to a new owner: all its live grants on the engines that the new owner has taken over. */
public record RegisterGrants(HostId host, Incarnation incarnation, List<Grant> grants) {
    public RegisterGrants {
        grants = List.copyOf(grants);
    }
}
