package org.elmline.core.owner;

import org.elmline.core.backend.AnnounceCounts;

/**
 * An owner's figures for operators.
 *
 * @param engines engines known, those with an expired lease included
 * @param openGrants grants reserved now
 * @param waiting requests waiting to be placed now
 * @param openCancels cancels that no engine has acknowledged yet
 * @param placed grants given since the start
 * @param refused requests refused since the start
 * @param reclaimed grants reclaimed because their entry was lost or did not release them after the deadline
 * @param unknownReports segments begun, first tokens and releases for grants not held: late, repeated, or after
 *     a loss
 */
public record OwnerCounts(
        AnnounceCounts announcements,
        int engines,
        int openGrants,
        int waiting,
        int openCancels,
        long placed,
        long refused,
        long reclaimed,
        long unknownReports) {}
