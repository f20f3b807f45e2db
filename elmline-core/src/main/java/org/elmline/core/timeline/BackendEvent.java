package org.elmline.core.timeline;

import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.Incarnation;

/** A change of state of one backend server, as observed by the process that records it. */
public sealed interface BackendEvent extends Event {
    BackendServerId server();

    /**
     * The recording entry has become the server's owner: the server announced itself for the first time since its
     * start, or another entry owned it before.
     */
    @JsonTypeName("backend-joined")
    record Joined(BackendServerId server, Incarnation incarnation) implements BackendEvent {}

    /**
     * The recording entry assigns no new work to the server: the server announced that it is leaving, or another entry
     * has become its owner.
     */
    @JsonTypeName("backend-leaving")
    record Leaving(BackendServerId server) implements BackendEvent {}

    /** No announcement of the server arrived for longer than its lease. */
    @JsonTypeName("backend-lost")
    record Lost(BackendServerId server) implements BackendEvent {}

    /** The server follows an order, for example to load a model version. */
    @JsonTypeName("backend-order-observed")
    record OrderObserved(BackendServerId server, String model, String version) implements BackendEvent {}
}
