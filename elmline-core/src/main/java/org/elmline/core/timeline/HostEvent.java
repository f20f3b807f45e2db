package org.elmline.core.timeline;

import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/** A change of state of one host's process. */
public sealed interface HostEvent extends Event {
    /** The host that the event is about; another host may have recorded it. */
    HostId host();

    /** The process has started to serve in the named role. */
    @JsonTypeName("process-started")
    record Started(HostId host, Incarnation incarnation, String role) implements HostEvent {}

    /** The process accepts no new requests and finishes those in flight. */
    @JsonTypeName("process-stopping")
    record Stopping(HostId host) implements HostEvent {}

    /** The entry has obtained a lease and may serve requests. */
    @JsonTypeName("lease-granted")
    record LeaseGranted(HostId host) implements HostEvent {}

    /** The entry has lost its lease and must not accept new requests. */
    @JsonTypeName("lease-lost")
    record LeaseLost(HostId host) implements HostEvent {}

    /** The control host has become the leader of the term. */
    @JsonTypeName("leader-elected")
    record LeaderElected(HostId host, long term) implements HostEvent {}

    /** The control host is no longer the leader. */
    @JsonTypeName("leader-deposed")
    record LeaderDeposed(HostId host, long term) implements HostEvent {}

    /** A time stamp from this host was too far ahead to be merged; its wall clock needs correction. */
    @JsonTypeName("clock-ahead")
    record ClockAhead(HostId host, long aheadMillis) implements HostEvent {}
}
