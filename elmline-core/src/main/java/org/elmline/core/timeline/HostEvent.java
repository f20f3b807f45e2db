package org.elmline.core.timeline;

import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/** A change of state of one host's process. */
public sealed interface HostEvent extends Event {
    /** The host it is about, which need not be the one that noticed. */
    HostId host();

    /** The process serves from now on, in the role of this name. */
    @JsonTypeName("process-started")
    record Started(HostId host, Incarnation incarnation, String role) implements HostEvent {}

    /** The process takes nothing new and finishes what it has. */
    @JsonTypeName("process-stopping")
    record Stopping(HostId host) implements HostEvent {}

    /** The entry may serve. */
    @JsonTypeName("lease-granted")
    record LeaseGranted(HostId host) implements HostEvent {}

    /** The entry must not take anything new. */
    @JsonTypeName("lease-lost")
    record LeaseLost(HostId host) implements HostEvent {}

    /** The control host leads under this term. */
    @JsonTypeName("leader-elected")
    record LeaderElected(HostId host, long term) implements HostEvent {}

    /** The control host no longer leads. */
    @JsonTypeName("leader-deposed")
    record LeaderDeposed(HostId host, long term) implements HostEvent {}

    /** A stamp from this host was too far ahead to be taken over; its wall clock needs care. */
    @JsonTypeName("clock-ahead")
    record ClockAhead(HostId host, long aheadMillis) implements HostEvent {}
}
