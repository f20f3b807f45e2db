package org.elmline.daemon.entry;

import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.Region;

/** Who this process is. */
public record HostIdentity(HostId host, Incarnation incarnation, FailureDomain failureDomain, Region region) {}
