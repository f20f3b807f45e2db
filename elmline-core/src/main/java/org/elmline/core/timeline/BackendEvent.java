package org.elmline.core.timeline;

import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.Incarnation;

/** A change of state of one backend server, as the process that hears it sees it. */
public sealed interface BackendEvent extends Event {
    BackendServerId server();

    /** It announced itself for the first time since its start. */
    @JsonTypeName("backend-joined")
    record Joined(BackendServerId server, Incarnation incarnation) implements BackendEvent {}

    /** It said that it is leaving; no new work goes to it. */
    @JsonTypeName("backend-leaving")
    record Leaving(BackendServerId server) implements BackendEvent {}

    /** Its announcements stopped for longer than its lease. */
    @JsonTypeName("backend-lost")
    record Lost(BackendServerId server) implements BackendEvent {}

    /** It follows an order, for example to load a model version. */
    @JsonTypeName("backend-order-observed")
    record OrderObserved(BackendServerId server, String model, String version) implements BackendEvent {}
}
