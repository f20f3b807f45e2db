package org.elmline.core.registry;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.ServiceName;

/**
 * The registration of a backend server, as each of its heartbeats carries it.
 *
 * @param address IPv4 number and port
 * @param places number of requests that it executes concurrently
 * @param bornMillis start of the server by its own clock, in milliseconds since 1970; a later start under the same id
 *     or address replaces an earlier one
 * @param sequence increases with each heartbeat of one start
 * @param cold how long the server stays cold; null in a heartbeat that does not state it, and from an earlier release,
 *     whose servers count as warm
 */
public record Registration(
        BackendServerId id,
        ServiceName service,
        Address address,
        FailureDomain failureDomain,
        int places,
        ServerState state,
        long bornMillis,
        long sequence,
        ColdReport cold) {
    /** Creates a registration that does not state how long the server stays cold. */
    public Registration(
            BackendServerId id,
            ServiceName service,
            Address address,
            FailureDomain failureDomain,
            int places,
            ServerState state,
            long bornMillis,
            long sequence) {
        this(id, service, address, failureDomain, places, state, bornMillis, sequence, null);
    }

    public Registration {
        if (id == null || service == null || address == null || failureDomain == null || state == null) {
            throw new IllegalArgumentException("a registration needs id, service, address, domain and state");
        }
        if (!address.isIpv4()) {
            // Connecting to a name would block the thread that resolves it, or fail where the address is parsed.
            throw new IllegalArgumentException("not an IPv4 address: " + address);
        }
    }

    /** Returns the registration of the same server in another state. */
    public Registration withState(ServerState next) {
        return new Registration(id, service, address, failureDomain, places, next, bornMillis, sequence, cold);
    }

    /** Returns the same registration with another report of how long the server stays cold. */
    public Registration withCold(ColdReport next) {
        return new Registration(id, service, address, failureDomain, places, state, bornMillis, sequence, next);
    }

    /**
     * Whether this registration replaces another of the same id. A later start takes precedence; within one start a
     * later state, so that a delayed heartbeat never makes a leaving server available again; within one state the later
     * heartbeat.
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

    /** Whether anything other than the sequence and the time for which the server stays cold differs. */
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
