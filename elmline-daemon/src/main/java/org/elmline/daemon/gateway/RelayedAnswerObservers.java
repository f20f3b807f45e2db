package org.elmline.daemon.gateway;

import java.util.function.Function;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.registry.Registration;

/**
 * Creates the observers of answers that this entry forwards for others: only the entry that is connected to a server can
 * tell whether the server has ended. Used on the I/O thread only.
 */
final class RelayedAnswerObservers {
    private final QuarantineClient quarantine;
    private final Function<BackendServerId, Registration> registrations;
    private final MonotonicClock clock;

    /** @param registrations the latest registration of a server, null for an unknown one */
    RelayedAnswerObservers(
            QuarantineClient quarantine, Function<BackendServerId, Registration> registrations, MonotonicClock clock) {
        this.quarantine = quarantine;
        this.registrations = registrations;
        this.clock = clock;
    }

    /** Whether the request's prompt is quarantined. */
    boolean isRefused(BackendServerId server, CallParts parts) {
        Registration registration = registrations.apply(server);
        return registration != null && quarantine.isRefused(registration.service(), parts);
    }

    /** The observer of the answer to a forwarded request. */
    AnswerObserver create(BackendTarget target, CallHead head, CallParts parts) {
        Registration registration = registrations.apply(target.server());
        boolean known = registration != null && head.requestId() != null;
        return new AnswerObserver(
                quarantine,
                clock,
                target,
                known ? registration.bornMillis() : 0,
                known ? registration.service() : null,
                head.requestId(),
                parts);
    }
}
