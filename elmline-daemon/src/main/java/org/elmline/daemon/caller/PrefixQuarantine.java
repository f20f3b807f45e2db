package org.elmline.daemon.caller;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.common.ServiceName;
import org.elmline.core.engine.PromptBlocks;
import org.elmline.core.quarantine.AnswerProgress;
import org.elmline.core.quarantine.PromptPart;
import org.elmline.core.quarantine.QuarantineView;
import org.elmline.core.quarantine.ServerCrash;
import org.elmline.core.route.Grant;
import org.elmline.daemon.openai.CompletionRequest;

/** The quarantine for one request: decides before each attempt, and observes the answers. Not thread-safe. */
final class PrefixQuarantine {
    /** Longest hold while a prefix of the prompt is suspected to crash engines. */
    private static final long MAX_HOLD_MILLIS = Duration.ofMillis(900).toMillis();

    private static final long SUSPECTED_RETRY_AFTER_MILLIS = 2_000;

    private final PromptQuarantine quarantine;
    private final MonotonicClock clock;
    private final ServiceName model;
    private final String request;
    private final List<PromptPart> prefixes = new ArrayList<>();
    private AnswerProgress progress = new AnswerProgress();
    private boolean isTrial;
    private boolean sent;

    /** @param prefixHashes the hash of each prefix of whole blocks */
    PrefixQuarantine(
            PromptQuarantine quarantine, MonotonicClock clock, AdmittedCompletion completion, List<Long> prefixHashes) {
        this.quarantine = quarantine;
        this.clock = clock;
        CompletionRequest completionRequest = completion.request();
        this.model = ServiceName.of(completionRequest.model().value());
        this.request = completion.call().id().value();
        // The end of a prompt is its own.
        int shared = PromptBlocks.endsWithWholeBlock(completionRequest.prompt())
                ? prefixHashes.size() - 1
                : prefixHashes.size();
        prefixHashes.subList(0, shared).forEach(each -> prefixes.add(PromptPart.of(Long.toHexString(each))));
    }

    /** Waits while the prompt is suspected, then returns why the next attempt must not be made; empty if it may. */
    Optional<Refusal> admit(AnswerSink sink) throws IOException, InterruptedException {
        if (prefixes.isEmpty() || isTrial && !sent) {
            return Optional.empty();
        }
        long sinceMillis = clock.millis();
        while (true) {
            QuarantineView.Decision decision = quarantine.decide(model, prefixes, !sent);
            if (decision instanceof QuarantineView.Decision.Refused refused) {
                return Optional.of(refusal("a prefix of the prompt is quarantined", refused.retryAfterMillis()));
            }
            if (!(decision instanceof QuarantineView.Decision.Held)) {
                isTrial = decision instanceof QuarantineView.Decision.Trial;
                return Optional.empty();
            }
            if (clock.millis() - sinceMillis >= MAX_HOLD_MILLIS) {
                return Optional.of(
                        refusal("a prefix of the prompt is suspected to crash engines", SUSPECTED_RETRY_AFTER_MILLIS));
            }
            Thread.sleep(quarantine.retryMillis());
            sink.onIdle();
        }
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
            quarantine.recordPass(model, prefixes);
        }
    }

    void onComplete() {
        if (progress.onComplete()) {
            quarantine.recordPass(model, prefixes);
        }
    }

    /** Records that the engine of an attempt can't be reached any more. */
    void onEngineLost(Grant grant) {
        if (!prefixes.isEmpty() && progress.isAtBeginning()) {
            quarantine.recordCrash(new ServerCrash(
                    request, model, grant.server(), grant.serverIncarnation().value(), prefixes, 0));
        }
    }
}
