package org.elmline.core.registry;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.ServiceName;

/**
 * One heartbeat of a backend server.
 *
 * @param places requests that it works on at once
 * @param bornMillis start of the server in milliseconds since 1970, by its own clock; a later start under the same id or
 *     address replaces an earlier one
 * @param sequence grows with each heartbeat of one start
 */
public record Registration(
        BackendServerId id,
        ServiceName service,
        Address address,
        FailureDomain failureDomain,
        int places,
        ServerState state,
        long bornMillis,
        long sequence) {
    public Registration {
        if (id == null || service == null || address == null || failureDomain == null || state == null) {
            throw new IllegalArgumentException("a registration needs id, service, address, domain and state");
        }
    }

    /** The same server in another state. */
    public Registration withState(ServerState next) {
        return new Registration(id, service, address, failureDomain, places, next, bornMillis, sequence);
    }

    /**
     * Whether this one is to be believed rather than another of the same id. A later start goes first; within a start a
     * later state, so that a delayed heartbeat never brings a leaving server back; then the later heartbeat.
     */
    public boolean supersedes(Registration other) {
        if (bornMillis != other.bornMillis) {
            return bornMillis > other.bornMillis;
        }
        if (state != other.state) {
            return state.compareTo(other.state) > 0;
        }
        return sequence > other.sequence;
    }

    /** Whether anything but the sequence differs. */
    public boolean differsFrom(Registration other) {
        return !id.equals(other.id)
                || !service.equals(other.service)
                || !address.equals(other.address)
                || !failureDomain.equals(other.failureDomain)
                || places != other.places
                || state != other.state
                || bornMillis != other.bornMillis;
    }
}
