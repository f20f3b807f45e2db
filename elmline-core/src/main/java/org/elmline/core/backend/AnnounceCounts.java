package org.elmline.core.backend;

/** Number of announcements accepted and rejected since the start of the process, for its metrics. Immutable. */
public record AnnounceCounts(long accepted, long staleIncarnation, long invalid) {
    AnnounceCounts plus(AnnounceResult result) {
        return new AnnounceCounts(
                accepted + (result.accepted() ? 1 : 0),
                staleIncarnation + (result == AnnounceResult.STALE_INCARNATION ? 1 : 0),
                invalid + (result == AnnounceResult.INVALID ? 1 : 0));
    }
}
