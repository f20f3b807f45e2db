package org.elmline.core.registry;

import java.util.List;

import org.elmline.core.common.Address;
import org.elmline.core.common.AgeRange;
import org.elmline.core.evacuation.Evacuations;
import org.elmline.core.quarantine.QuarantineNews;
import org.elmline.core.registry.RegistryChannels.RoutingText;

/**
 * The answer to one poll: what has changed since the follower's previous poll.
 *
 * @param epoch identifies the start of the answering control host; if it differs from the previous answer, this answer
 *     holds the complete state
 * @param upMillis how long this host has been receiving heartbeats and polls, in milliseconds
 * @param servers backend servers that have changed
 * @param serversNow number of the latest change of backend servers
 * @param heard servers whose heartbeats reached this host directly since the last poll; for control hosts only
 * @param entries all entries; null when they have not changed or when {@code entryNews} holds the changes
 * @param entryNews entries that have changed since the requested number
 * @param entriesNow number of the latest change of entries
 * @param controls addresses of the control hosts
 * @param routingVersion version of the latest routing table that this host holds, -1 without one
 * @param routing the routing document as text, for an entry of an earlier release that has none yet; null otherwise
 * @param packedRouting the routing document in compressed form, for an entry of a current release that has none yet;
 *     null otherwise
 * @param unconfirmedMillis how long no leader of the log has confirmed that this host's routing table is the newest, in
 *     milliseconds; 0 while one does, and from an earlier release
 * @param quarantine all that this host holds on quarantined parts of prompts; null when it has not changed
 * @param evacuation the evacuations of failure domains; null when the follower holds this version or a later one, or
 *     follows none, and from an earlier release
 */
public record FollowAnswer(
        long epoch,
        long upMillis,
        List<ServerUpdate> servers,
        long serversNow,
        List<HeartbeatAge> heard,
        List<EntryRecord> entries,
        List<EntryUpdate> entryNews,
        long entriesNow,
        List<Address> controls,
        long routingVersion,
        RoutingText routing,
        PackedRouting packedRouting,
        long unconfirmedMillis,
        QuarantineNews quarantine,
        Evacuations evacuation) {
    public FollowAnswer {
        upMillis = AgeRange.nearest(upMillis);
        unconfirmedMillis = AgeRange.nearest(unconfirmedMillis);
        servers = servers == null ? List.of() : List.copyOf(servers);
        heard = heard == null ? List.of() : List.copyOf(heard);
        entryNews = entryNews == null ? List.of() : List.copyOf(entryNews);
        controls = controls == null ? List.of() : List.copyOf(controls);
    }

    /** An answer without evacuations. */
    public FollowAnswer(
            long epoch,
            long upMillis,
            List<ServerUpdate> servers,
            long serversNow,
            List<HeartbeatAge> heard,
            List<EntryRecord> entries,
            List<EntryUpdate> entryNews,
            long entriesNow,
            List<Address> controls,
            long routingVersion,
            RoutingText routing,
            PackedRouting packedRouting,
            long unconfirmedMillis,
            QuarantineNews quarantine) {
        this(
                epoch,
                upMillis,
                servers,
                serversNow,
                heard,
                entries,
                entryNews,
                entriesNow,
                controls,
                routingVersion,
                routing,
                packedRouting,
                unconfirmedMillis,
                quarantine,
                null);
    }
}
