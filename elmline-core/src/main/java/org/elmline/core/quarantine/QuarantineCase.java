package org.elmline.core.quarantine;

import java.time.Duration;

/**
 * A record with what only the control host that holds it knows of the group. Times named {@code now} are monotonic, in
 * nanoseconds. Not safe for concurrent use.
 */
final class QuarantineCase {
    /** Time after a crash in which other calls that were sent before it end. */
    private static final long TRIAL_DELAY_NANOS = Duration.ofMillis(300).toNanos();

    /** Pause before the first trial of a quarantined group; it doubles with each trial. */
    private static final long FIRST_PAUSE_NANOS = Duration.ofMinutes(10).toNanos();

    /** Trials of a quarantined group; each may end a server. Afterwards only an operator releases it. */
    private static final int MAX_TRIALS = 2;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    QuarantineRecord quarantine;
    long sinceNanos;
    long lastCrashNanos;
    long lastDemandNanos;
    long trialSinceNanos;
    long nextTrialNanos;

    QuarantineCase(QuarantineRecord quarantine, long now) {
        this.quarantine = quarantine;
        sinceNanos = now;
        lastCrashNanos = now;
        lastDemandNanos = now;
        trialSinceNanos = now;
    }

    boolean restricts() {
        return quarantine.stage().restricts();
    }

    boolean isIn(QuarantineStage stage) {
        return quarantine.stage() == stage;
    }

    boolean byOperator() {
        return quarantine.reason() == QuarantineReason.OPERATOR;
    }

    boolean isRequest() {
        return quarantine.group().isRequest();
    }

    private GroupKind kind() {
        return GroupKind.of(quarantine.group());
    }

    /** Whether a suspicion has lasted for its time without a further crash. */
    boolean isSuspicionOver(long now) {
        return isIn(QuarantineStage.SUSPECTED) && now - lastCrashNanos >= kind().suspicionNanos();
    }

    /** Whether a released group need not be kept any longer. */
    boolean isReleaseOver(long now) {
        return !restricts() && now - sinceNanos >= kind().releasedNanos();
    }

    /** Whether a trial is under way that should have had its result. */
    boolean isTrialOver(long now) {
        return restricts() && quarantine.trialEntry() != null && now - trialSinceNanos >= kind().trialNanos();
    }

    /** Whether the next trial may be granted. */
    boolean isTrialDue(long now) {
        if (!restricts() || byOperator() || quarantine.trialEntry() != null) {
            return false;
        }
        return isIn(QuarantineStage.SUSPECTED) && now - lastCrashNanos >= TRIAL_DELAY_NANOS
                || isIn(QuarantineStage.QUARANTINED) && quarantine.trials() < MAX_TRIALS && now - nextTrialNanos >= 0;
    }

    void scheduleTrial(long now) {
        nextTrialNanos = now + (FIRST_PAUSE_NANOS << quarantine.trials());
    }

    /** Milliseconds until the next trial; negative without one. */
    long untilTrialMillis(long now) {
        if (isIn(QuarantineStage.SUSPECTED)) {
            return 0;
        }
        boolean hasTrial = isIn(QuarantineStage.QUARANTINED) && !byOperator() && quarantine.trials() < MAX_TRIALS;
        return hasTrial ? Math.max(0, (nextTrialNanos - now) / NANOS_PER_MILLI) : -1;
    }
}
