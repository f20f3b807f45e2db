package org.elmline.daemon.caller;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.common.ServiceName;
import org.elmline.core.quarantine.AnswerProgress;
import org.elmline.core.quarantine.PromptPart;
import org.elmline.core.quarantine.QuarantineRecord;
import org.elmline.core.quarantine.QuarantineView;
import org.elmline.core.quarantine.ServerCrash;
import org.elmline.core.route.Grant;

/** The quarantine for one request: decides before each attempt, and observes the answers. Not thread-safe. */
final class PrefixQuarantine {
    /** Longest hold while a request, or a prefix of its prompt, is suspected to crash engines. */
    private static final long MAX_HOLD_MILLIS = Duration.ofMillis(900).toMillis();

    private static final long SUSPECTED_RETRY_AFTER_MILLIS = 2_000;

    private final PromptQuarantine quarantine;
    private final MonotonicClock clock;
    private final ServiceName model;
    private final String request;
    private final CompletionParts parts;
    private AnswerProgress progress = new AnswerProgress();
    private boolean isTrial;
    private boolean sent;
    private boolean hasEndedEngine;

    /** @param prefixHashes the hash of each prefix of whole blocks */
    PrefixQuarantine(
            PromptQuarantine quarantine, MonotonicClock clock, AdmittedCompletion completion, List<Long> prefixHashes) {
        this.quarantine = quarantine;
        this.clock = clock;
        this.model = ServiceName.of(completion.request().model().value());
        this.request = completion.call().id().value();
        this.parts = new CompletionParts(completion.request(), prefixHashes);
    }

    /** Waits while the request is suspected, then returns why the next attempt must not be made; empty if it may. */
    Optional<Refusal> admit(AnswerSink sink) throws IOException, InterruptedException {
        if (isTrial && !sent) {
            return Optional.empty();
        }
        long sinceMillis = clock.millis();
        while (true) {
            QuarantineView.Decision decision = quarantine.decide(model, parts, !sent);
            if (decision instanceof QuarantineView.Decision.Refused refused) {
                return Optional.of(
                        refusal(subject(refused.quarantine()) + " is quarantined", refused.retryAfterMillis()));
            }
            if (!(decision instanceof QuarantineView.Decision.Held held)) {
                isTrial = decision instanceof QuarantineView.Decision.Trial;
                return Optional.empty();
            }
            if (clock.millis() - sinceMillis >= MAX_HOLD_MILLIS) {
                return Optional.of(refusal(
                        subject(held.quarantine()) + " is suspected to crash engines", SUSPECTED_RETRY_AFTER_MILLIS));
            }
            Thread.sleep(quarantine.retryMillis());
            sink.onIdle();
        }
    }

    private static String subject(QuarantineRecord quarantine) {
        return quarantine.group().isRequest() ? "the request" : "a prefix of the prompt";
    }

    private static Refusal refusal(String why, long retryAfterMillis) {
        return Refusal.retryLater(RefusalReason.QUARANTINED, why, retryAfterMillis);
    }

    void onAttempt() {
        sent = true;
        progress = new AnswerProgress();
    }

    /** Records pieces of the answer that were delivered. */
    void onPieces(int count) {
        boolean passed = false;
        for (int i = 0; i < count; i++) {
            passed |= progress.onContent(clock.nanos());
        }
        if (passed) {
            quarantine.recordPass(model, parts.shared());
        }
    }

    void onComplete() {
        if (progress.onComplete()) {
            quarantine.recordPass(model, parts.shared());
        }
        quarantine.recordAnswered(model, parts, hasEndedEngine);
    }

    /** Records that the engine of an attempt can't be reached any more. */
    void onEngineLost(Grant grant) {
        hasEndedEngine = true;
        List<PromptPart> reported = progress.isAtBeginning() ? parts.all() : List.of(parts.request());
        quarantine.recordCrash(new ServerCrash(
                request, model, grant.server(), grant.serverIncarnation().value(), reported, 0));
    }
}
