package org.elmline.core.backend;

import java.util.List;

import org.elmline.core.common.Address;

/**
 * The answer to an announcement: how often to announce, and where. Immutable.
 *
 * @param intervalMillis milliseconds between announcements
 * @param leaseMillis milliseconds without an announcement after which the server receives no new work
 * @param announceTo addresses for further announcements, preferred first: the owner entry, then alternatives
 */
public record AnnounceAnswer(long intervalMillis, long leaseMillis, List<Address> announceTo) {
    public AnnounceAnswer {
        announceTo = List.copyOf(announceTo);
    }
}
