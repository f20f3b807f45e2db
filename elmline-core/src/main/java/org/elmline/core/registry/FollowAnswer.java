package org.elmline.core.registry;

import java.util.List;

import org.elmline.core.common.Address;
import org.elmline.core.registry.RegistryChannels.RoutingText;

/**
 * News for one poll.
 *
 * @param epoch start of the answering control host; when it is another than before, the news are the whole state
 * @param upMillis how long this host has been hearing servers and entries
 * @param servers backend servers that have changed
 * @param serversNow number of the newest change of backend servers
 * @param heard servers heard by this host itself since the last poll; for control hosts only
 * @param entries all entries, null when they have not changed or {@code entryNews} tells of the changes
 * @param entryNews entries that have changed since the number that was asked for
 * @param entriesNow number of the newest change of entries
 * @param controls where the control hosts are
 * @param routingVersion version of the newest routing table that this host holds, -1 without one
 * @param routing the routing document itself for an entry of an earlier release that knows of none yet, else null
 * @param packedRouting the same for other entries
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
        PackedRouting packedRouting) {
    public FollowAnswer {
        servers = servers == null ? List.of() : List.copyOf(servers);
        heard = heard == null ? List.of() : List.copyOf(heard);
        entryNews = entryNews == null ? List.of() : List.copyOf(entryNews);
        controls = controls == null ? List.of() : List.copyOf(controls);
    }
}
