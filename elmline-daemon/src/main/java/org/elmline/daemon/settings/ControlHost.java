package org.elmline.daemon.settings;

import org.elmline.core.common.Address;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;

/**
 * One of the initial control hosts. Entries contact these first; the answers name control hosts that were added later.
 *
 * @param peers address on which it listens for elmline's own processes
 */
public record ControlHost(HostId host, Address peers, FailureDomain failureDomain) {}
