package org.elmline.core.timeline;

import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.Incarnation;

/** A change of state of one backend server, as the process that hears it sees it. */
public sealed interface BackendEvent extends Event {
    BackendServerId server();

    /** This entry owns it from now on: it announced itself for the first time since its start, or came from another owner. */
    @JsonTypeName("backend-joined")
    record Joined(BackendServerId server, Incarnation incarnation) implements BackendEvent {}

    /** It gets no new work from this owner: it said that it is leaving, or another entry owns it from now on. */
    @JsonTypeName("backend-leaving")
    record Leaving(BackendServerId server) implements BackendEvent {}

    /** Its announcements stopped for longer than its lease. */
    @JsonTypeName("backend-lost")
    record Lost(BackendServerId server) implements BackendEvent {}

    /** It follows an order, for example to load a model version. */
    @JsonTypeName("backend-order-observed")
    record OrderObserved(BackendServerId server, String model, String version) implements BackendEvent {}
}
