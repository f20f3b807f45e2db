package org.elmline.core.registry;

import org.elmline.core.common.HostId;

/**
 * A long poll for changes: answered without delay when an urgent change is pending, after a short batching time when
 * there are other changes, and otherwise after a hold time; see {@link PendingPoll}.
 *
 * @param host the polling host
 * @param entry the record of the polling entry, null when a control host polls
 * @param epoch start of the control host that {@code serversSeen} and {@code entriesSeen} refer to, 0 in the first poll
 * @param serversSeen number of the latest change of backend servers that the follower has applied; acknowledges it
 * @param entriesSeen number of the latest change of entries that the follower has applied
 * @param routingVersion version of the routing table that the follower holds, -1 without one
 * @param form latest form of answers that the follower understands; 0 from an earlier release, which expects all
 *     entries as a list and the routing document as text
 * @param holdMillis how long the poll may be held without changes, in milliseconds; 0 from an earlier release, which
 *     gets the default
 * @param heldEntryChanges whether entries that appear or change their state are no reason to answer before the hold is
 *     over, as other control hosts tell the follower of them sooner; false from an earlier release
 * @param quarantineSeen number of the latest change of the quarantine that the follower has applied
 * @param evacuationSeen version of the evacuations that the follower holds, 0 for none; null from a follower that does
 *     not follow them and from an earlier release
 * @param evacuatedCalls calls that the follower still runs on servers of evacuated failure domains; null as above
 */
public record FollowRequest(
        HostId host,
        EntryRecord entry,
        long epoch,
        long serversSeen,
        long entriesSeen,
        long routingVersion,
        int form,
        long holdMillis,
        boolean heldEntryChanges,
        long quarantineSeen,
        Long evacuationSeen,
        Integer evacuatedCalls) {
    /** Form of answers that hold changes of single entries and the routing document compressed. */
    public static final int FORM_PACKED_UPDATES = 1;

    /** A poll of a follower that does not follow evacuations. */
    public FollowRequest(
            HostId host,
            EntryRecord entry,
            long epoch,
            long serversSeen,
            long entriesSeen,
            long routingVersion,
            int form,
            long holdMillis,
            boolean heldEntryChanges,
            long quarantineSeen) {
        this(
                host,
                entry,
                epoch,
                serversSeen,
                entriesSeen,
                routingVersion,
                form,
                holdMillis,
                heldEntryChanges,
                quarantineSeen,
                null,
                null);
    }

    /**
     * Whether the answer should contain the routing document. A starting entry cannot serve without it, and a second
     * call to fetch it would take longer, in particular when the control hosts have just started, too. Later documents
     * are fetched separately: if each control host sent them in its answers, they would cross the network five times.
     */
    public boolean needsRouting() {
        return entry != null && routingVersion < 0;
    }

    /**
     * Whether the follower lacks this version of the evacuations. A follower that does not follow them lacks none: it
     * would be answered at once without end, as it never acknowledges a version.
     */
    public boolean lacksEvacuation(long version) {
        return entry != null && evacuationSeen != null && version > evacuationSeen;
    }

    /** Whether the follower accepts changes of single entries and the compressed routing document. */
    public boolean acceptsPackedUpdates() {
        return form >= FORM_PACKED_UPDATES;
    }
}
