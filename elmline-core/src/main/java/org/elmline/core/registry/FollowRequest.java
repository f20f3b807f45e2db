package org.elmline.core.registry;

import org.elmline.core.common.HostId;

/**
 * A poll for news, answered at once when there are some and otherwise after a while.
 *
 * @param host who asks
 * @param entry its record when it is an entry, null when it is a control host
 * @param epoch start of the control host that {@code serversSeen} and {@code entriesSeen} belong to, 0 at first
 * @param serversSeen number of the newest change of backend servers that the asker holds; acknowledges it
 * @param entriesSeen number of the newest change of entries that the asker holds
 * @param routingVersion version of the routing table that the asker holds, -1 without one
 * @param form newest form of answers that the asker understands; 0 from an earlier release, which takes all entries as a
 *     list and the routing document as text
 * @param holdMillis time for which the poll is to be held without news; 0 from an earlier release, which has the usual one
 */
public record FollowRequest(
        HostId host,
        EntryRecord entry,
        long epoch,
        long serversSeen,
        long entriesSeen,
        long routingVersion,
        int form,
        long holdMillis) {
    /** Answers with news of single entries, and with the routing document packed. */
    public static final int FORM_PACKED_UPDATES = 1;

    /**
     * Whether the answer should bring the routing document itself. An entry that starts can serve nothing without it, and
     * fetched by a second call it would come later from control hosts that have just started, too. Later documents
     * are fetched: sent by each control host they would cross the network five times.
     */
    public boolean needsRouting() {
        return entry != null && routingVersion < 0;
    }

    /** Whether the asker takes news of single entries, and the routing document packed. */
    public boolean acceptsPackedUpdates() {
        return form >= FORM_PACKED_UPDATES;
    }
}
