package org.elmline.core.control;

import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.Ran;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;

/**
 * An entry's state for one call that may run at most once. It sends at most once: only after a quorum has committed its
 * begin, and only while the entry's own lease and the deadline are still valid at that moment. Every event may be late,
 * duplicated or lost. Safe for concurrent use.
 *
 * <p>Until its claim is decided, a session has no information about earlier attempts under the key, so it refuses with
 * "unknown" instead of "did not run": a caller that received "did not run" could use a new key and pay twice. A
 * retry under the same key is safe in every case.
 */
public final class ClaimSession {
    private static final long RETRY_DELAY_MILLIS = 1_000;

    private enum Phase {
        NEW,
        BEGINNING,
        SENT,
        FINISHING,
        /** The caller has its reply and nothing was sent; a begin may still be in flight and be committed. */
        ABANDONED,
        ENDED
    }

    private final ClaimBegin begin;
    private final HostLease lease;
    private final long deadlineNanos;
    private int finishAttemptsLeft;
    private Phase phase = Phase.NEW;
    private boolean replied;
    private ClaimFinish finish;

    /**
     * @param lease the entry's own lease
     * @param deadlineNanos the caller's deadline on the entry's monotonic clock
     * @param finishAttempts how often to report the call's end to control hosts; when all reports fail, a repeat is
     *     answered "may have run"
     */
    public ClaimSession(ClaimBegin begin, HostLease lease, long deadlineNanos, int finishAttempts) {
        this.begin = begin;
        this.lease = lease;
        this.deadlineNanos = deadlineNanos;
        this.finishAttemptsLeft = finishAttempts;
    }

    public synchronized ClaimStep start() {
        if (phase != Phase.NEW) {
            return new ClaimStep.Nothing();
        }
        phase = Phase.BEGINNING;
        return new ClaimStep.Begin(begin, null);
    }

    /** Handles the result of a begin. */
    public synchronized ClaimStep onBeginResult(CallResult<ClaimAnswer> result, long nowNanos) {
        ClaimOutcome outcome = committedOutcome(result);
        if (phase == Phase.ABANDONED && outcome instanceof ClaimOutcome.Granted) {
            return release(null);
        }
        if (phase != Phase.BEGINNING) {
            return new ClaimStep.Nothing();
        }
        if (outcome == null) {
            return nowNanos - deadlineNanos >= 0 ? onDeadline() : new ClaimStep.Begin(begin, leaderHint(result));
        }
        if (outcome instanceof ClaimOutcome.Granted) {
            return onGranted(nowNanos);
        }
        phase = Phase.ENDED;
        return replyOnce(replyWhenNotGranted(outcome));
    }

    /**
     * Checks lease and deadline again, because the process may have been frozen since the commit. A session whose lease
     * or deadline is over has not sent the call and never will, so it may report that and release the claim for a later
     * attempt.
     */
    private ClaimStep onGranted(long nowNanos) {
        if (!lease.isValid(nowNanos)) {
            return release(refusal(RefusalReason.NO_LEASE, "this entry lost its lease", Ran.NO));
        }
        if (nowNanos - deadlineNanos >= 0) {
            return release(refusal(RefusalReason.DEADLINE, "the deadline passed before the call was sent", Ran.NO));
        }
        phase = Phase.SENT;
        return new ClaimStep.Send();
    }

    /** Handles the result of the call to the service. */
    public synchronized ClaimStep onCallResult(CallResult<RecordedAnswer> result) {
        if (phase != Phase.SENT) {
            return new ClaimStep.Nothing();
        }
        if (result instanceof CallResult.Answered<RecordedAnswer> answered) {
            phase = Phase.FINISHING;
            finish = new ClaimFinish(begin.key(), begin.owner(), answered.value());
            return finishStep(new ClaimReply.Answered(answered.value(), false), null);
        }
        if (result instanceof CallResult.NotSent<RecordedAnswer> notSent) {
            return release(refusal(RefusalReason.BACKEND_FAILED, notSent.reason(), Ran.NO));
        }
        phase = Phase.ENDED;
        return replyOnce(refusal(RefusalReason.BACKEND_FAILED, "the service's answer was lost", Ran.UNKNOWN));
    }

    /** Handles the result of a finish. */
    public synchronized ClaimStep onFinishResult(CallResult<ClaimAnswer> result) {
        if (phase != Phase.FINISHING) {
            return new ClaimStep.Nothing();
        }
        if (committedOutcome(result) == null && finishAttemptsLeft > 0) {
            return finishStep(null, leaderHint(result));
        }
        phase = Phase.ENDED;
        return new ClaimStep.Nothing();
    }

    /** Handles the caller's deadline: the caller receives its reply now, whatever is still in flight. */
    public synchronized ClaimStep onDeadline() {
        if (phase == Phase.SENT) {
            return replyOnce(refusal(RefusalReason.DEADLINE, "the service hasn't answered in time", Ran.UNKNOWN));
        }
        if (phase == Phase.NEW || phase == Phase.BEGINNING) {
            phase = Phase.ABANDONED;
            return replyOnce(refusal(RefusalReason.DEADLINE, "the claim wasn't decided in time", Ran.UNKNOWN));
        }
        return new ClaimStep.Nothing();
    }

    private ClaimStep release(ClaimReply reply) {
        phase = Phase.FINISHING;
        finish = new ClaimFinish(begin.key(), begin.owner(), null);
        return finishStep(reply, null);
    }

    private ClaimStep finishStep(ClaimReply reply, Address leader) {
        finishAttemptsLeft--;
        ClaimReply pendingReply = replied ? null : reply;
        replied |= pendingReply != null;
        return new ClaimStep.Finish(finish, pendingReply, leader);
    }

    private ClaimStep replyOnce(ClaimReply reply) {
        if (replied) {
            return new ClaimStep.Nothing();
        }
        replied = true;
        return new ClaimStep.Reply(reply);
    }

    private static ClaimReply replyWhenNotGranted(ClaimOutcome outcome) {
        if (outcome instanceof ClaimOutcome.Recorded recorded) {
            return new ClaimReply.Answered(recorded.answer(), true);
        }
        if (outcome instanceof ClaimOutcome.Refused refused) {
            Ran ran = refused.reason() == RefusalReason.KEY_EXPIRED ? Ran.UNKNOWN : Ran.NO;
            return refusal(refused.reason(), refused.message(), ran);
        }
        return refusal(RefusalReason.IDEMPOTENCY_CONFLICT, "an earlier try under this key may have run", Ran.UNKNOWN);
    }

    private static ClaimReply refusal(RefusalReason reason, String message, Ran ran) {
        return new ClaimReply.Refused(new Refusal(reason, message, ran, reason.retryable() ? RETRY_DELAY_MILLIS : 0));
    }

    /** Returns the committed outcome, or null when none is confirmed. */
    private static ClaimOutcome committedOutcome(CallResult<ClaimAnswer> result) {
        boolean decided = result instanceof CallResult.Answered<ClaimAnswer> answered
                && answered.value() instanceof ClaimAnswer.Decided;
        return decided ? ((ClaimAnswer.Decided) ((CallResult.Answered<ClaimAnswer>) result).value()).outcome() : null;
    }

    private static Address leaderHint(CallResult<ClaimAnswer> result) {
        boolean hint = result instanceof CallResult.Answered<ClaimAnswer> answered
                && answered.value() instanceof ClaimAnswer.NotLeader;
        return hint ? ((ClaimAnswer.NotLeader) ((CallResult.Answered<ClaimAnswer>) result).value()).leader() : null;
    }
}
