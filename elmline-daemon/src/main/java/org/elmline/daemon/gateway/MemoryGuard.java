package org.elmline.daemon.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpServerExchange;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.memory.MemoryAccount;
import org.elmline.core.memory.MemoryShare;
import org.elmline.daemon.log.DecisionLog;
import org.xnio.XnioExecutor;

/**
 * Keeps the memory that this entry holds for its calls within its bound: resumes reads that were paused for it in turn,
 * ends calls whose callers do not read, and rebuilds the account. Used on the I/O thread only.
 */
final class MemoryGuard {
    /** Most bytes that one read from a server adds to the account. */
    static final int READ_BYTES = 8 * 1024;

    private static final long TICK_MILLIS = 100;

    /** Ticks in which every paused read gets a turn: a server cuts off an answer that is not read for some seconds. */
    private static final int TICKS_PER_ROUND = 8;

    private static final long REBUILD_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time for which the account must be pressed before a call is ended; a burst of answers is read within it. */
    private static final long PRESSED_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Least time without a byte to or from the caller after which a call is ended; a sound link may pause as long. */
    private static final long MIN_IDLE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final int PERCENT = 100;

    private final MemoryAccount account;
    private final XnioExecutor thread;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Counter paused;
    private final Counter ended;
    private final Deque<PausedRead> pausedReads = new ArrayDeque<>();
    private final Set<CallMemory> largeAnswers = new LinkedHashSet<>();
    private boolean ticking;
    private boolean pressed;
    private long pressedSinceNanos;
    private long rebuiltAtNanos;

    private record PausedRead(CallMemory memory, Runnable resume) {}

    MemoryGuard(
            MemoryAccount account, XnioExecutor thread, MonotonicClock clock, DecisionLog log, MetricRegistry metrics) {
        this.account = account;
        this.thread = thread;
        this.clock = clock;
        this.log = log;
        this.paused = metrics.counter("memory.calls.paused");
        this.ended = metrics.counter("memory.calls.ended");
        metrics.gauge("memory.held.bytes", () -> account::heldBytes);
        metrics.gauge("memory.held.highest.bytes", () -> account::highestBytes);
    }

    MemoryAccount account() {
        return account;
    }

    /** Opens the share of one request and its answer; the id is for log lines and may be null. */
    CallMemory open(HttpServerExchange exchange, String requestId) {
        startTicking();
        return new CallMemory(this, exchange, requestId);
    }

    /** Starts the periodic checks, which end by themselves when no call is open. */
    void startTicking() {
        if (!ticking) {
            ticking = true;
            rebuiltAtNanos = clock.nanos();
            scheduleTick();
        }
    }

    long now() {
        return clock.nanos();
    }

    /** Resumes a read when there is room, and within a second at the latest if any room is left. */
    void addPaused(CallMemory memory, Runnable resume) {
        pausedReads.add(new PausedRead(memory, resume));
    }

    void removePaused(CallMemory memory) {
        pausedReads.removeIf(each -> each.memory() == memory);
    }

    /** Counts a call whose reads are paused for the first time. */
    void countPaused() {
        paused.inc();
    }

    /** Registers an answer that is too large to be read whole while the account is pressed. */
    void addLargeAnswer(CallMemory memory) {
        largeAnswers.add(memory);
    }

    /** Whether this answer is the first of the large ones, which is always read on: otherwise none might complete. */
    boolean isFirstLargeAnswer(CallMemory memory) {
        return !largeAnswers.isEmpty() && largeAnswers.iterator().next() == memory;
    }

    void removeLargeAnswer(CallMemory memory) {
        largeAnswers.remove(memory);
    }

    private void scheduleTick() {
        thread.executeAfter(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Continues after a failure of one call: without these checks, paused reads would wait until their deadlines. */
    private void tick() {
        try {
            check(clock.nanos());
        } catch (RuntimeException e) {
            log.line("memory check failed").with("why", e).write();
        }
        ticking = !account.isEmpty() || !pausedReads.isEmpty();
        if (ticking) {
            scheduleTick();
        }
    }

    private void check(long now) {
        if (now - rebuiltAtNanos >= REBUILD_INTERVAL_NANOS) {
            rebuiltAtNanos = now;
            rebuild();
        }
        updatePressed(now);
        if (pressed && now - pressedSinceNanos >= PRESSED_GRACE_NANOS) {
            endIdleCalls(now);
        }
        resumeInTurn();
    }

    private void rebuild() {
        long difference = account.rebuild();
        if (difference != 0) {
            log.line("memory account corrected")
                    .with("difference", difference)
                    .with("held", account.heldBytes())
                    .write();
        }
    }

    private void updatePressed(long now) {
        boolean isPressed = account.isPressed() || account.isFullOfBodies();
        if (isPressed == pressed) {
            return;
        }
        pressed = isPressed;
        pressedSinceNanos = now;
        log.line(pressed ? "memory pressed" : "memory relieved")
                .with("held", account.heldBytes())
                .with("bound", account.boundBytes())
                .with("fullOfBodies", account.isFullOfBodies())
                .with("pausedReads", pausedReads.size())
                .write();
    }

    private void endIdleCalls(long now) {
        while (account.isPressed() || account.isFullOfBodies()) {
            Optional<MemoryShare> longest = account.longestIdle(MIN_IDLE_NANOS, now);
            if (longest.isEmpty()) {
                return;
            }
            end(longest.get(), now);
        }
    }

    private void end(MemoryShare share, long now) {
        ended.inc();
        log.line("call ended for memory")
                .with("request", share.holder() instanceof CallMemory memory ? memory.requestId() : null)
                .with("bytes", share.heldBytes())
                .with("ageMs", TimeUnit.NANOSECONDS.toMillis(share.ageNanos(now)))
                .with("callerIdleMs", TimeUnit.NANOSECONDS.toMillis(share.callerIdleNanos(now)))
                .with("sharePercent", share.heldBytes() * PERCENT / account.boundBytes())
                .with("held", account.heldBytes())
                .with("bound", account.boundBytes())
                .write();
        share.holder().end(share);
        share.close();
    }

    /** Resumes all paused reads when there is room, else those whose turn it is, by one buffer each. */
    private void resumeInTurn() {
        boolean inTurn = account.isPressed();
        int count = inTurn ? (pausedReads.size() + TICKS_PER_ROUND - 1) / TICKS_PER_ROUND : pausedReads.size();
        for (int i = 0; i < count && !pausedReads.isEmpty(); i++) {
            PausedRead next = pausedReads.poll();
            next.memory().resumed(inTurn);
            next.resume().run();
        }
    }
}
