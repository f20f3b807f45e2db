package org.elmline.core.backend;

import java.util.List;

import org.elmline.core.common.Address;

/**
 * How often to announce and where.
 *
 * @param intervalMillis milliseconds between announcements
 * @param leaseMillis milliseconds without one after which new work stops
 * @param announceTo addresses to use next, best first: the owner entry, then others to fall back on
 */
public record AnnounceAnswer(long intervalMillis, long leaseMillis, List<Address> announceTo) {
    public AnnounceAnswer {
        announceTo = List.copyOf(announceTo);
    }
}
