package org.elmline.core.route;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.ServiceName;

/** A plain service's replica that takes new calls; entries call it directly, without a grant. */
public record ServiceReplica(ServiceName service, BackendServerId server, Incarnation incarnation, Address address) {}
