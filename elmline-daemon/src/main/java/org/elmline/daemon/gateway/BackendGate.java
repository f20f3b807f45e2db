package org.elmline.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.ServiceName;
import org.elmline.core.dispatch.DispatchAnswer;
import org.elmline.core.dispatch.SendRestrictions;
import org.elmline.core.dispatch.ServerNotice;
import org.elmline.core.registry.Registration;
import org.elmline.daemon.log.DecisionLog;

/**
 * The one place that every request of this entry to a backend server passes, and every answer: records what answers
 * state about their servers, and withholds requests that a server does not accept now. Used on the I/O thread only.
 */
final class BackendGate {
    private final Function<BackendServerId, Registration> registrations;
    private final Function<BackendServerId, Registration> usableServers;
    private final ObservedServerLimits limits;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Counter withheld;
    private final EvacuationGate evacuations;
    private final SendRestrictions restrictions = new SendRestrictions();

    /**
     * @param registrations the latest registration of a server, null for an unknown one
     * @param usableServers the same, null also for one that does not accept work
     */
    BackendGate(
            Function<BackendServerId, Registration> registrations,
            Function<BackendServerId, Registration> usableServers,
            ObservedServerLimits limits,
            EvacuationGate evacuations,
            MonotonicClock clock,
            DecisionLog log,
            MetricRegistry metrics) {
        this.registrations = registrations;
        this.usableServers = usableServers;
        this.limits = limits;
        this.evacuations = evacuations;
        this.clock = clock;
        this.log = log;
        this.withheld = metrics.counter("backend.requests.withheld");
    }

    /** Start of a server by its registration, in milliseconds since 1970; 0 for an unknown server. */
    long bornMillis(BackendServerId server) {
        Registration registration = registrations.apply(server);
        return registration == null ? 0 : registration.bornMillis();
    }

    /** Whether a server may be sent new work now. */
    boolean allows(BackendServerId server) {
        return evacuations.allows(registrations.apply(server))
                && restrictions.allows(server, bornMillis(server), clock.nanos());
    }

    /** Whether a request of this purpose must wait because this entry has just resumed; see {@link #whenReleased}. */
    boolean holds(RequestPurpose purpose) {
        return purpose.mustStillBeAllowed() && evacuations.isHeld();
    }

    /** Runs a command once held requests may be sent. */
    void whenReleased(Runnable command) {
        evacuations.whenReleased(command);
    }

    /**
     * Whether all servers of a grant may be sent new work now. If not, the dispatcher gets the names of those that are
     * evacuated, as it lacks the evacuation.
     */
    boolean acceptsGrant(DispatchAnswer.Granted granted, ServiceName service) {
        List<BackendServerId> servers = new ArrayList<>();
        servers.add(granted.server());
        granted.helpers().forEach(each -> servers.add(each.server()));
        for (BackendServerId each : servers) {
            if (!evacuations.allows(registrations.apply(each))) {
                evacuations.recordOffer(each, service);
            }
        }
        return servers.stream().allMatch(this::allows);
    }

    /** Whether a request of this purpose may be sent now; counts those that are withheld. */
    boolean tryPass(BackendServerId server, RequestPurpose purpose) {
        return countIfWithheld(
                mayBegin(server, purpose) && purpose.tryPass(restrictions, server, bornMillis(server), clock.nanos()));
    }

    private boolean mayBegin(BackendServerId server, RequestPurpose purpose) {
        return !purpose.mustStillBeAllowed() || evacuations.tryBegin(registrations.apply(server));
    }

    private boolean countIfWithheld(boolean passes) {
        withheld.inc(passes ? 0 : 1);
        return passes;
    }

    /** Whether a request that has passed may still be sent, after a connection was opened; counts it otherwise. */
    boolean stillAllows(BackendServerId server, RequestPurpose purpose) {
        return countIfWithheld(mayBegin(server, purpose) && (!purpose.mustStillBeAllowed() || allows(server)));
    }

    /** Milliseconds until the backoff that a server requested from this entry ends; 0 without one. */
    long backoffMillis(BackendServerId server) {
        return restrictions.backoffMillis(server, bornMillis(server), clock.nanos());
    }

    /** Milliseconds until the first server of a service accepts requests of this entry again; 0 if none backs off. */
    long shortestBackoffMillis(ServiceName service) {
        long shortest = Long.MAX_VALUE;
        for (BackendServerId each : restrictedServers(service)) {
            long millis = backoffMillis(each);
            shortest = millis > 0 ? Math.min(shortest, millis) : shortest;
        }
        return shortest == Long.MAX_VALUE ? 0 : shortest;
    }

    /**
     * The registered servers of a service that may not be sent new work now; those that have left are not among them. Of
     * evacuated servers only those are named that a dispatcher has just granted: dispatchers leave out the others
     * themselves, and a list of a whole failure domain would have to be compared with each server at each placement.
     */
    List<BackendServerId> restrictedServers(ServiceName service) {
        List<BackendServerId> restricted = new ArrayList<>(evacuations.offeredServers(service));
        restricted.removeIf(this::allows);
        for (BackendServerId each : restrictions.restricted(clock.nanos())) {
            Registration registration = usableServers.apply(each);
            if (registration != null && registration.service().equals(service) && !allows(each)) {
                restricted.add(each);
            }
        }
        return restricted;
    }

    /**
     * Records what an answer states about its server.
     *
     * @param bornMillis start of the server that the request was sent to
     */
    void onAnswer(BackendServerId server, long bornMillis, AnswerHead answer) {
        if (answer.wrongServer()) {
            // The notice is that of an unknown server that has taken over the address.
            return;
        }
        ServerNotice notice = answer.notice();
        limits.record(server, notice.limit(), "answer");
        if (notice.backoffMillis() < 0) {
            log.line("server backoff unreadable").with("server", server).write();
        }
        if (restrictions.update(server, bornMillis, notice, clock.nanos())) {
            log.line("server restricted")
                    .with("server", server)
                    .with("born", bornMillis)
                    .with("leaving", notice.leaving())
                    .with("backoffMs", notice.backoffMillis())
                    .write();
        }
    }
}
