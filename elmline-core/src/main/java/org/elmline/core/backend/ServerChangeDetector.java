package org.elmline.core.backend;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.timeline.BackendEvent;

/**
 * Detects changes between successive lists of an owner's backend servers, as events for the time line. Not thread-safe.
 */
public final class ServerChangeDetector {
    private Map<BackendServerId, ObservedServer> previous = Map.of();

    private record ObservedServer(Incarnation incarnation, boolean leaving) {}

    /** Returns the changes since the previous call: lost servers first, then the others in the order given. */
    public List<BackendEvent> detect(Collection<Announcement> servers) {
        Map<BackendServerId, ObservedServer> current = new HashMap<>();
        servers.forEach(each -> current.put(each.id(), new ObservedServer(each.incarnation(), each.leaving())));
        List<BackendEvent> changes = new ArrayList<>();
        for (Map.Entry<BackendServerId, ObservedServer> each : previous.entrySet()) {
            boolean isGone = !current.containsKey(each.getKey());
            if (isGone && !each.getValue().leaving()) {
                changes.add(new BackendEvent.Lost(each.getKey()));
            }
        }
        for (Announcement each : servers) {
            addChanges(each, previous.get(each.id()), changes);
        }
        previous = current;
        return changes;
    }

    private static void addChanges(Announcement server, ObservedServer earlier, List<BackendEvent> changes) {
        boolean isSameIncarnation = earlier != null && earlier.incarnation().equals(server.incarnation());
        if (!isSameIncarnation) {
            changes.add(new BackendEvent.Joined(server.id(), server.incarnation()));
        }
        boolean wasLeaving = isSameIncarnation && earlier.leaving();
        if (server.leaving() && !wasLeaving) {
            changes.add(new BackendEvent.Leaving(server.id()));
        } else if (wasLeaving && !server.leaving()) {
            changes.add(new BackendEvent.Joined(server.id(), server.incarnation()));
        }
    }
}
