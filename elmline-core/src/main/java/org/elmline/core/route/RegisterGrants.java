package org.elmline.core.route;

import java.util.List;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/** An entry lists all its live grants on the engines that another host owns now. */
public record RegisterGrants(HostId host, Incarnation incarnation, List<Grant> grants) {
    public RegisterGrants {
        grants = List.copyOf(grants);
    }
}
