package org.elmline.daemon.gateway;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.ObjLongConsumer;

import org.elmline.core.common.ServiceName;
import org.elmline.core.quarantine.QuarantineRecord;
import org.elmline.core.quarantine.QuarantineView;

/** The quarantine before each attempt of one call: lets it pass, holds it or refuses it. Used on the I/O thread only. */
final class CallQuarantine {
    /** Longest hold: a trial takes a prefill and half a second of its answer. */
    private static final long MAX_HOLD_NANOS = Duration.ofMillis(900).toNanos();

    /** Time left below which a call is not held any longer, so that its caller gets the refusal in time. */
    private static final long MIN_REMAINING_MILLIS = 250;

    /** Retry-After when a suspicion is neither confirmed nor cleared within the hold. */
    private static final long SUSPECTED_RETRY_AFTER_MILLIS = 2_000;

    private final QuarantineClient quarantine;
    private final HeldCalls heldCalls;
    private final LongSupplier clockNanos;
    private final ServiceName service;
    private final CallParts parts;
    private final BooleanSupplier mayHaveRun;
    private boolean isTrial;
    private boolean isHeld;
    private long heldSinceNanos;

    /** @param mayHaveRun whether any server may have started to run the call */
    CallQuarantine(GatewayContext context, ServiceName service, CallParts parts, BooleanSupplier mayHaveRun) {
        this.quarantine = context.quarantine();
        this.heldCalls = context.heldCalls();
        this.clockNanos = context.clock()::nanos;
        this.service = service;
        this.parts = parts;
        this.mayHaveRun = mayHaveRun;
    }

    CallParts parts() {
        return parts;
    }

    /**
     * Decides on the next attempt, perhaps after a while.
     *
     * @param onRefused receives the reason and the time after which the caller should retry, in milliseconds
     * @param remainingMillis time for which the call is of use to its caller
     */
    void admit(Runnable onAdmitted, ObjLongConsumer<String> onRefused, LongSupplier remainingMillis) {
        if (isTrial && !mayHaveRun.getAsBoolean()) {
            // No server was reached: the trial is still to be made.
            onAdmitted.run();
            return;
        }
        QuarantineView.Decision decision = quarantine.decide(service, parts, !mayHaveRun.getAsBoolean());
        if (decision instanceof QuarantineView.Decision.Refused refused) {
            onRefused.accept(subject(refused.quarantine()) + " is quarantined", refused.retryAfterMillis());
        } else if (decision instanceof QuarantineView.Decision.Held held) {
            hold(held.quarantine(), onAdmitted, onRefused, remainingMillis);
        } else {
            isHeld = false;
            isTrial = decision instanceof QuarantineView.Decision.Trial;
            onAdmitted.run();
        }
    }

    private static String subject(QuarantineRecord quarantine) {
        return quarantine.group().isRequest() ? "the request" : "a part of the prompt";
    }

    private void hold(
            QuarantineRecord suspected,
            Runnable onAdmitted,
            ObjLongConsumer<String> onRefused,
            LongSupplier remainingMillis) {
        long now = clockNanos.getAsLong();
        heldSinceNanos = isHeld ? heldSinceNanos : now;
        isHeld = true;
        if (now - heldSinceNanos >= MAX_HOLD_NANOS || remainingMillis.getAsLong() < MIN_REMAINING_MILLIS) {
            onRefused.accept(subject(suspected) + " is suspected to crash servers", SUSPECTED_RETRY_AFTER_MILLIS);
        } else {
            heldCalls.add(this, () -> admit(onAdmitted, onRefused, remainingMillis));
        }
    }

    /** Whether an attempt that no server has begun to answer must be given up. */
    boolean mustGiveUp() {
        return !isTrial && quarantine.isRefused(service, parts);
    }

    /** Ends a hold; nothing is reported any more. */
    void withdraw() {
        isHeld = false;
        heldCalls.remove(this);
    }
}
