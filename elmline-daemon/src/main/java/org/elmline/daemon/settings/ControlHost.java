package org.elmline.daemon.settings;

import org.elmline.core.common.Address;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;

/**
 * One of the initial control hosts. Entries ask these first and learn of later ones from the answers.
 *
 * @param peers where it listens for elmline's own processes
 */
public record ControlHost(HostId host, Address peers, FailureDomain failureDomain) {}
