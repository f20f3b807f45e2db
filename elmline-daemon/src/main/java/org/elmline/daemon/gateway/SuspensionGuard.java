package org.elmline.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.elmline.core.common.MonotonicClock;
import org.elmline.daemon.log.DecisionLog;
import org.xnio.XnioExecutor;

/**
 * Holds new work after this entry's thread did not run for a while, until a control host has confirmed the state of the
 * deployment. An entry that was frozen resumes with grants and a view from before, and would send the grants to servers
 * that have been evacuated meanwhile. Used on the I/O thread only.
 */
final class SuspensionGuard {
    /** Time without running from which the view may be outdated. */
    private static final long SUSPENSION_MILLIS = 1_000;

    /** Longest hold: an entry that reaches no control host continues with the view that it has. */
    private static final long MAX_HOLD_MILLIS = 500;

    /** Interval at which an idle thread shows that it runs. */
    private static final long TICK_MILLIS = 200;

    private final XnioExecutor thread;
    private final MonotonicClock clock;
    private final LongSupplier wallMillis;
    private final Consumer<Runnable> confirm;
    private final DecisionLog log;
    private final List<Runnable> waiting = new ArrayList<>();
    private long lastMillis;
    private long lastWallMillis;
    private long suspensions;
    private boolean held;

    /**
     * @param wallMillis the wall clock in milliseconds since 1970: the monotonic clock stops while a host is suspended
     * @param confirm requests the state of the deployment from the control hosts, and runs its argument once it is
     *     applied and confirmed
     */
    SuspensionGuard(
            XnioExecutor thread,
            MonotonicClock clock,
            LongSupplier wallMillis,
            Consumer<Runnable> confirm,
            DecisionLog log) {
        this.thread = thread;
        this.clock = clock;
        this.wallMillis = wallMillis;
        this.confirm = confirm;
        this.log = log;
        this.lastMillis = clock.millis();
        this.lastWallMillis = wallMillis.getAsLong();
        tick();
    }

    private void tick() {
        thread.executeAfter(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
        observe();
    }

    /** Whether new work must wait. */
    boolean isHeld() {
        observe();
        return held;
    }

    /** Runs a command once new work need not wait any more. */
    void whenReleased(Runnable command) {
        if (held) {
            waiting.add(command);
        } else {
            command.run();
        }
    }

    private void observe() {
        long now = clock.millis();
        long wallNow = wallMillis.getAsLong();
        long pauseMillis = Math.max(now - lastMillis, wallNow - lastWallMillis);
        lastMillis = now;
        lastWallMillis = wallNow;
        if (pauseMillis >= SUSPENSION_MILLIS) {
            onResumed(pauseMillis);
        }
    }

    private void onResumed(long pauseMillis) {
        held = true;
        suspensions++;
        long suspension = suspensions;
        log.line("thread resumed").with("pauseMs", pauseMillis).write();
        thread.executeAfter(() -> release(suspension, false), MAX_HOLD_MILLIS, TimeUnit.MILLISECONDS);
        confirm.accept(() -> release(suspension, true));
    }

    /** @param suspension number of the suspension that ended before the state was requested */
    private void release(long suspension, boolean confirmed) {
        if (!held || suspension != suspensions) {
            return;
        }
        held = false;
        log.line("new work released")
                .with("confirmed", confirmed)
                .with("waiting", waiting.size())
                .write();
        List<Runnable> released = new ArrayList<>(waiting);
        waiting.clear();
        // Each runs on its own, so that one that fails does not keep the others waiting until their deadlines.
        released.forEach(thread::execute);
    }
}
