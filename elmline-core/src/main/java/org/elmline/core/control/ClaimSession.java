package org.elmline.core.control;

import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.Ran;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;

/**
 * An entry's side of one call that may run at most once. It sends at most once: only after a quorum has committed its
 * begin, and only while the entry's own lease and the deadline still hold at that moment. Every event may come late,
 * doubled or not at all.
 *
 * <p>Until its claim is decided a session knows nothing of earlier tries under the key, so it refuses with "unknown",
 * not with "did not run": a caller told that the call didn't run could use a new key and pay twice. A retry under the
 * same key is safe in every case.
 */
public final class ClaimSession {
    private static final long COME_BACK_MILLIS = 1_000;

    private enum Phase {
        NEW,
        BEGINNING,
        SENT,
        FINISHING,
        /** The caller has its reply, nothing was sent; a begin may still be on its way to being committed. */
        GIVEN_UP,
        OVER
    }

    private final ClaimBegin begin;
    private final HostLease lease;
    private final long deadlineNanos;
    private int finishTries;
    private Phase phase = Phase.NEW;
    private boolean replied;
    private ClaimFinish finish;

    /**
     * @param lease the entry's own lease
     * @param finishTries how often to tell control hosts how the call ended; when all fail, a repeat gets "may have run"
     */
    public ClaimSession(ClaimBegin begin, HostLease lease, long deadlineNanos, int finishTries) {
        this.begin = begin;
        this.lease = lease;
        this.deadlineNanos = deadlineNanos;
        this.finishTries = finishTries;
    }

    public synchronized ClaimStep start() {
        if (phase != Phase.NEW) {
            return new ClaimStep.Nothing();
        }
        phase = Phase.BEGINNING;
        return new ClaimStep.Begin(begin, null);
    }

    /** What came of a begin. */
    public synchronized ClaimStep begun(CallResult<ClaimAnswer> result, long nowNanos) {
        ClaimOutcome outcome = decided(result);
        if (phase == Phase.GIVEN_UP && outcome instanceof ClaimOutcome.Granted) {
            return release(null);
        }
        if (phase != Phase.BEGINNING) {
            return new ClaimStep.Nothing();
        }
        if (outcome == null) {
            return nowNanos - deadlineNanos >= 0 ? expire() : new ClaimStep.Begin(begin, leader(result));
        }
        if (outcome instanceof ClaimOutcome.Granted) {
            return granted(nowNanos);
        }
        phase = Phase.OVER;
        return reply(notGranted(outcome));
    }

    /**
     * A freeze may have passed between the commit and now. A session that finds its lease or its deadline gone hasn't
     * sent and never will, so it may say so and let a later try run.
     */
    private ClaimStep granted(long nowNanos) {
        if (!lease.check(nowNanos)) {
            return release(refused(RefusalReason.NO_LEASE, "this entry lost its lease", Ran.NO));
        }
        if (nowNanos - deadlineNanos >= 0) {
            return release(refused(RefusalReason.DEADLINE, "the deadline passed before the call was sent", Ran.NO));
        }
        phase = Phase.SENT;
        return new ClaimStep.Send();
    }

    /** What came of the call to the service. */
    public synchronized ClaimStep called(CallResult<RecordedAnswer> result) {
        if (phase != Phase.SENT) {
            return new ClaimStep.Nothing();
        }
        if (result instanceof CallResult.Answered<RecordedAnswer> answered) {
            phase = Phase.FINISHING;
            finish = new ClaimFinish(begin.key(), begin.owner(), answered.value());
            return finishStep(new ClaimReply.Answered(answered.value(), false), null);
        }
        if (result instanceof CallResult.NotSent<RecordedAnswer> notSent) {
            return release(refused(RefusalReason.BACKEND_FAILED, notSent.why(), Ran.NO));
        }
        phase = Phase.OVER;
        return reply(refused(RefusalReason.BACKEND_FAILED, "the service's answer was lost", Ran.UNKNOWN));
    }

    /** What came of a finish. */
    public synchronized ClaimStep finished(CallResult<ClaimAnswer> result) {
        if (phase != Phase.FINISHING) {
            return new ClaimStep.Nothing();
        }
        if (decided(result) == null && finishTries > 0) {
            return finishStep(null, leader(result));
        }
        phase = Phase.OVER;
        return new ClaimStep.Nothing();
    }

    /** The caller's deadline has passed: the caller gets its reply now, whatever is still on its way. */
    public synchronized ClaimStep expire() {
        if (phase == Phase.SENT) {
            return reply(refused(RefusalReason.DEADLINE, "the service hasn't answered in time", Ran.UNKNOWN));
        }
        if (phase == Phase.NEW || phase == Phase.BEGINNING) {
            phase = Phase.GIVEN_UP;
            return reply(refused(RefusalReason.DEADLINE, "the claim wasn't decided in time", Ran.UNKNOWN));
        }
        return new ClaimStep.Nothing();
    }

    private ClaimStep release(ClaimReply reply) {
        phase = Phase.FINISHING;
        finish = new ClaimFinish(begin.key(), begin.owner(), null);
        return finishStep(reply, null);
    }

    private ClaimStep finishStep(ClaimReply reply, Address leader) {
        finishTries--;
        ClaimReply first = replied ? null : reply;
        replied |= first != null;
        return new ClaimStep.Finish(finish, first, leader);
    }

    private ClaimStep reply(ClaimReply reply) {
        if (replied) {
            return new ClaimStep.Nothing();
        }
        replied = true;
        return new ClaimStep.Reply(reply);
    }

    private static ClaimReply notGranted(ClaimOutcome outcome) {
        if (outcome instanceof ClaimOutcome.Recorded recorded) {
            return new ClaimReply.Answered(recorded.answer(), true);
        }
        if (outcome instanceof ClaimOutcome.Refused refused) {
            Ran ran = refused.reason() == RefusalReason.KEY_EXPIRED ? Ran.UNKNOWN : Ran.NO;
            return refused(refused.reason(), refused.message(), ran);
        }
        return refused(RefusalReason.IDEMPOTENCY_CONFLICT, "an earlier try under this key may have run", Ran.UNKNOWN);
    }

    private static ClaimReply refused(RefusalReason reason, String message, Ran ran) {
        return new ClaimReply.Refused(new Refusal(reason, message, ran, reason.passing() ? COME_BACK_MILLIS : 0));
    }

    /** The committed outcome; null when there is none to rely on. */
    private static ClaimOutcome decided(CallResult<ClaimAnswer> result) {
        boolean decided = result instanceof CallResult.Answered<ClaimAnswer> answered
                && answered.value() instanceof ClaimAnswer.Decided;
        return decided ? ((ClaimAnswer.Decided) ((CallResult.Answered<ClaimAnswer>) result).value()).outcome() : null;
    }

    private static Address leader(CallResult<ClaimAnswer> result) {
        boolean hint = result instanceof CallResult.Answered<ClaimAnswer> answered
                && answered.value() instanceof ClaimAnswer.NotLeader;
        return hint ? ((ClaimAnswer.NotLeader) ((CallResult.Answered<ClaimAnswer>) result).value()).leader() : null;
    }
}
