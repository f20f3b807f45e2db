package org.elmline.core.control;

import org.elmline.core.common.ConfigVersion;

/** An entry's renewal of its lease; acknowledges the configuration it holds in force. */
public record LeaseRequest(HostRecord host, ConfigVersion inForce, long membersVersion) {}
