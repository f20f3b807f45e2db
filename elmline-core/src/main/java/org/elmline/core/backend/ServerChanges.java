package org.elmline.core.backend;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.timeline.BackendEvent;

/** Tells what changed between two looks at an owner's backend servers, as events for the time line. */
public final class ServerChanges {
    private Map<BackendServerId, Seen> before = Map.of();

    private record Seen(Incarnation incarnation, boolean leaving) {}

    /** The changes since the last call, in the order of the servers given; lost ones come first. */
    public List<BackendEvent> next(Collection<Announcement> servers) {
        Map<BackendServerId, Seen> now = new HashMap<>();
        servers.forEach(each -> now.put(each.id(), new Seen(each.incarnation(), each.leaving())));
        List<BackendEvent> changes = new ArrayList<>();
        for (Map.Entry<BackendServerId, Seen> each : before.entrySet()) {
            boolean gone = !now.containsKey(each.getKey());
            if (gone && !each.getValue().leaving()) {
                changes.add(new BackendEvent.Lost(each.getKey()));
            }
        }
        for (Announcement each : servers) {
            addChanges(each, before.get(each.id()), changes);
        }
        before = now;
        return changes;
    }

    private static void addChanges(Announcement server, Seen earlier, List<BackendEvent> changes) {
        boolean sameStart = earlier != null && earlier.incarnation().equals(server.incarnation());
        if (!sameStart) {
            changes.add(new BackendEvent.Joined(server.id(), server.incarnation()));
        }
        boolean wasLeaving = sameStart && earlier.leaving();
        if (server.leaving() && !wasLeaving) {
            changes.add(new BackendEvent.Leaving(server.id()));
        } else if (wasLeaving && !server.leaving()) {
            changes.add(new BackendEvent.Joined(server.id(), server.incarnation()));
        }
    }
}
