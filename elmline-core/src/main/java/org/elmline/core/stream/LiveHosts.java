package org.elmline.core.stream;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.control.HostRecord;

/** The host incarnations that hold a lease according to the member list. Immutable. */
public final class LiveHosts {
    private final Map<HostId, Incarnation> incarnations = new HashMap<>();

    public LiveHosts(Collection<HostRecord> members) {
        for (HostRecord each : members) {
            incarnations.put(each.id(), each.incarnation());
        }
    }

    /**
     * Whether this incarnation of the host has ended. One later than the listed one has not: the member list lags
     * behind it.
     */
    public boolean hasEnded(HostId host, Incarnation incarnation) {
        Incarnation live = incarnations.get(host);
        return live == null || incarnation.compareTo(live) < 0;
    }
}
