package org.elmline.daemon.entry;

import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.Region;

/** Identity and location of this process. */
public record HostIdentity(HostId host, Incarnation incarnation, FailureDomain failureDomain, Region region) {}
