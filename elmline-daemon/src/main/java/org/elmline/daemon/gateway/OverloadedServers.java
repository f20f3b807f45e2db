package org.elmline.daemon.gateway;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.ServiceName;
import org.elmline.core.dispatch.DispatchCall;
import org.elmline.core.memory.UnansweredBytes;

/**
 * The servers that a call of this entry is not to be placed on: those that accept no new work, and those with too many
 * bytes of unanswered requests where there is another one. Used on the I/O thread only.
 */
final class OverloadedServers {
    private final UnansweredBytes unanswered;
    private final Function<ServiceName, List<BackendServerId>> servers;
    private final Function<ServiceName, List<BackendServerId>> restricted;

    /**
     * @param servers the servers of a service that accept work
     * @param restricted those that this entry may not send new work to now
     */
    OverloadedServers(
            UnansweredBytes unanswered,
            Function<ServiceName, List<BackendServerId>> servers,
            Function<ServiceName, List<BackendServerId>> restricted) {
        this.unanswered = unanswered;
        this.servers = servers;
        this.restricted = restricted;
    }

    List<BackendServerId> avoidedBy(DispatchCall call) {
        List<BackendServerId> withheld = restricted.apply(call.service());
        if (!unanswered.isAnyOverBound()) {
            return withheld;
        }
        Set<BackendServerId> avoided = new LinkedHashSet<>(withheld);
        avoided.addAll(call.avoid());
        Set<BackendServerId> all = new LinkedHashSet<>(withheld);
        all.addAll(unanswered.passedOver(servers.apply(call.service()), avoided));
        return List.copyOf(all);
    }
}
