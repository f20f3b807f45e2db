package org.elmline.core.control;

import org.elmline.core.common.ConfigVersion;

/** An entry's renewal of its lease, which acknowledges the configuration in force there. */
public record LeaseRequest(HostRecord host, ConfigVersion inForce, long membersVersion) {
    public LeaseRequest {
        if (host == null || inForce == null) {
            throw new IllegalArgumentException("a renewal needs the host and the version in force");
        }
    }
}
