package org.elmline.daemon.gateway;

import java.util.List;

import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.ServiceName;
import org.elmline.core.quarantine.AnswerProgress;
import org.elmline.core.quarantine.PromptPart;
import org.elmline.core.quarantine.ServerCrash;

/**
 * Observes one answer of a server to a prompt, and reports to the quarantine whether it went on or broke off at its
 * beginning. Used on the I/O thread only.
 */
final class AnswerObserver {
    private final QuarantineClient quarantine;
    private final MonotonicClock clock;
    private final BackendTarget target;
    private final long bornMillis;
    private final ServiceName service;
    private final String request;
    private final List<PromptPart> parts;
    private final AnswerProgress progress = new AnswerProgress();

    /**
     * @param bornMillis start of the server, in milliseconds since 1970
     * @param parts parts of the prompt that other prompts may share
     */
    AnswerObserver(
            QuarantineClient quarantine,
            MonotonicClock clock,
            BackendTarget target,
            long bornMillis,
            ServiceName service,
            String request,
            List<PromptPart> parts) {
        this.quarantine = quarantine;
        this.clock = clock;
        this.target = target;
        this.bornMillis = bornMillis;
        this.service = service;
        this.request = request;
        this.parts = parts;
    }

    /** Records a piece of the content of a success, such as an event. */
    void onContent() {
        if (!parts.isEmpty() && progress.onContent(clock.nanos())) {
            quarantine.recordPass(service, parts);
        }
    }

    /** Records the end of a complete success. */
    void onComplete() {
        if (!parts.isEmpty() && progress.onComplete()) {
            quarantine.recordPass(service, parts);
        }
    }

    /** Records that the answer broke off; runs {@code onDone} when that is reported where it matters. */
    void onBroken(Runnable onDone) {
        if (parts.isEmpty() || !progress.isAtBeginning()) {
            onDone.run();
            return;
        }
        quarantine.reportBrokenBeginning(
                target,
                ageMillis -> new ServerCrash(request, service, target.server(), bornMillis, parts, ageMillis),
                onDone);
    }
}
