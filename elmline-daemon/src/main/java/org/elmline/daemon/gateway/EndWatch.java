package org.elmline.daemon.gateway;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.elmline.core.common.Address;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.quarantine.ServerStart;
import org.elmline.core.quarantine.UnresolvedAnswers;
import org.elmline.core.quarantine.UnresolvedAnswers.Unresolved;
import org.xnio.XnioExecutor;

/**
 * Finds out whether servers end whose answers broke off or were given up before: checks them for some seconds, and
 * compares their registrations for longer. Used on the I/O thread only.
 */
final class EndWatch {
    private static final long TICK_MILLIS = 50;
    /** Each comparison looks through all registrations, whose heartbeats are a second apart. */
    private static final long COMPARISON_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final CrashCheck crashCheck;
    private final ServerRegistrations registrations;
    private final Listener listener;
    private final XnioExecutor thread;
    private final MonotonicClock clock;
    private final UnresolvedAnswers<BrokenAnswer> unresolved = new UnresolvedAnswers<>();
    private boolean ticking;
    private long comparedAtNanos;

    /** Receives the answers whose servers have ended. */
    interface Listener {
        /** @param ageMillis time since the answer ended */
        void onServerEnded(BrokenAnswer answer, CrashCheck.Finding finding, long ageMillis);
    }

    /** What registrations say of a server. */
    interface ServerRegistrations {
        /** Whether a server has started at this address after the start of one. */
        boolean hasLaterStart(ServerStart start, Address address);

        /** Whether a server has announced that it leaves. */
        boolean hasLeft(ServerStart start);

        /** Whether no control host receives heartbeats of a server that has not announced its end. */
        boolean isExpired(ServerStart start);
    }

    EndWatch(
            CrashCheck crashCheck,
            ServerRegistrations registrations,
            Listener listener,
            XnioExecutor thread,
            MonotonicClock clock) {
        this.crashCheck = crashCheck;
        this.registrations = registrations;
        this.listener = listener;
        this.thread = thread;
        this.clock = clock;
        this.comparedAtNanos = clock.nanos();
    }

    /** Adds an answer that has just ended before it was complete, or has been silent for long. */
    void add(BrokenAnswer answer) {
        unresolved.add(answer.serverStart(), answer, answer.brokenOff(), clock.nanos());
        if (!ticking) {
            ticking = true;
            scheduleTick();
        }
    }

    /** Records that a server has sent part of another answer. */
    void recordLife(ServerStart start) {
        if (!unresolved.isEmpty()) {
            unresolved.recordLife(start, clock.nanos());
        }
    }

    /** Drops what is watched of a request that the server has answered after all. */
    void recordAnswered(ServerStart start, CallParts parts) {
        unresolved.removeIf(start, each -> each.parts() == parts);
    }

    /** Resolves the answers of a server that this entry has found ended. */
    void resolve(ServerStart start, CrashCheck.Finding finding) {
        long now = clock.nanos();
        List<Unresolved<BrokenAnswer>> suspects = finding == CrashCheck.Finding.STARTED_AGAIN
                ? unresolved.resolveStartedAgain(start)
                : unresolved.resolve(start);
        for (Unresolved<BrokenAnswer> each : suspects) {
            listener.onServerEnded(each.answer(), finding, (now - each.endedAtNanos()) / NANOS_PER_MILLI);
        }
    }

    private void scheduleTick() {
        thread.executeAfter(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        long now = clock.nanos();
        unresolved.removeExpired(now);
        if (now - comparedAtNanos >= COMPARISON_INTERVAL_NANOS) {
            comparedAtNanos = now;
            unresolved.starts().forEach(this::compareRegistrations);
        }
        unresolved.startChecks(now).forEach(this::check);
        ticking = !unresolved.isEmpty();
        if (ticking) {
            scheduleTick();
        }
    }

    private void compareRegistrations(ServerStart start) {
        BrokenAnswer answer = unresolved.latest(start);
        if (registrations.hasLaterStart(start, answer.target().address())) {
            resolve(start, CrashCheck.Finding.STARTED_AGAIN);
        } else if (registrations.hasLeft(start)) {
            unresolved.resolve(start);
        } else if (registrations.isExpired(start) && !unresolved.acceptedConnection(start)) {
            resolve(start, CrashCheck.Finding.EXPIRED);
        }
    }

    private void check(ServerStart start) {
        crashCheck.check(unresolved.latest(start).target(), finding -> {
            unresolved.endCheck(start, finding == CrashCheck.Finding.ACCEPTS_CONNECTIONS);
            if (finding.showsEnd()) {
                resolve(start, finding);
            }
        });
    }
}
