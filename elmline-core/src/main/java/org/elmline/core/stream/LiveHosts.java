package org.elmline.core.stream;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.control.HostRecord;

/** The incarnations that hold a lease, as the member list says. Immutable. */
public final class LiveHosts {
    private final Map<HostId, Incarnation> incarnations = new HashMap<>();

    public LiveHosts(Collection<HostRecord> members) {
        for (HostRecord each : members) {
            incarnations.put(each.id(), each.incarnation());
        }
    }

    /**
     * Whether this start of the host is over. A start later than the listed one is not over: the list lags behind it.
     */
    public boolean hasEnded(HostId host, Incarnation incarnation) {
        Incarnation live = incarnations.get(host);
        return live == null || incarnation.compareTo(live) < 0;
    }
}
