package org.elmline.daemon.gateway;

import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.ServiceName;
import org.elmline.core.dispatch.AttemptEnd;
import org.elmline.core.quarantine.AnswerProgress;
import org.elmline.core.quarantine.ServerStart;

/**
 * Observes one answer of a server, and reports to the quarantine whether it went on, was complete, broke off or was
 * given up. Used on the I/O thread only.
 */
final class AnswerObserver {
    private final QuarantineClient quarantine;
    private final MonotonicClock clock;
    private final BackendTarget target;
    private final ServerStart serverStart;
    private final ServiceName service;
    private final String request;
    private final CallParts parts;
    private final AnswerProgress progress = new AnswerProgress();

    /**
     * @param bornMillis start of the server, in milliseconds since 1970
     * @param service null for a server that is not registered here, of which nothing is reported
     */
    AnswerObserver(
            QuarantineClient quarantine,
            MonotonicClock clock,
            BackendTarget target,
            long bornMillis,
            ServiceName service,
            String request,
            CallParts parts) {
        this.quarantine = quarantine;
        this.clock = clock;
        this.target = target;
        this.serverStart = new ServerStart(target.server(), bornMillis);
        this.service = service;
        this.request = request;
        this.parts = parts;
    }

    /** Records a piece of the content of a success, such as an event. */
    void onContent() {
        if (service == null) {
            return;
        }
        quarantine.recordLife(serverStart);
        if (progress.onContent(clock.nanos())) {
            quarantine.recordPass(service, parts.shared());
        }
    }

    /** Records the end of a complete answer; not of a failure, which a server may send without having run the request. */
    void onComplete() {
        if (service == null) {
            return;
        }
        if (progress.onComplete()) {
            quarantine.recordPass(service, parts.shared());
        }
        quarantine.recordAnswered(service, serverStart, parts);
    }

    /** Records that the answer broke off; runs {@code onDone} when that is reported where it matters. */
    void onBroken(Runnable onDone) {
        if (service == null) {
            onDone.run();
            return;
        }
        quarantine.reportBroken(endedAnswer(AttemptEnd.BROKEN, true), onDone);
    }

    /** Records that an answer that is no success broke off: its server may end because of the request later. */
    void onErrorBroken() {
        if (service != null) {
            quarantine.watch(endedAnswer(AttemptEnd.BROKEN, true));
        }
    }

    /**
     * Records that nothing has arrived for long, or that this entry gave up the answer: its server may have ended because
     * of the request, or do so later.
     */
    void onUnresolved(AttemptEnd how) {
        if (service != null) {
            quarantine.watch(endedAnswer(how, false));
        }
    }

    private BrokenAnswer endedAnswer(AttemptEnd how, boolean brokenOff) {
        return new BrokenAnswer(
                request,
                parts.request(),
                parts,
                service,
                target,
                serverStart.bornMillis(),
                progress.isAtBeginning(),
                brokenOff,
                how);
    }
}
