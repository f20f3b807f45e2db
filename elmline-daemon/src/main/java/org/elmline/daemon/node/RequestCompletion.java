package org.elmline.daemon.node;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

import io.undertow.server.HttpServerExchange;
import org.elmline.core.common.MonotonicClock;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.log.LogLine;
import org.xnio.XnioExecutor;

/** Waits in steps until requests are answered when a process stops, and logs those that are not. */
public final class RequestCompletion {
    private static final long CHECK_INTERVAL_MILLIS = 10;

    private final OpenRequests openRequests;
    private final MonotonicClock clock;
    private final CheckRunner runner;

    /** Runs a check on the thread that has to make it. */
    public interface CheckRunner {
        /** Returns the result of the check; true if it can't be made, so that the stop goes on. */
        boolean run(BooleanSupplier check) throws InterruptedException;
    }

    public RequestCompletion(OpenRequests openRequests, MonotonicClock clock, CheckRunner runner) {
        this.openRequests = openRequests;
        this.clock = clock;
        this.runner = runner;
    }

    /**
     * Returns once the requests are answered that are open as the wait begins, or after the time limit.
     *
     * @param onBegin run together with the look-up of the open requests
     */
    public void awaitOpen(long timeoutMillis, Runnable onBegin) throws InterruptedException {
        Set<HttpServerExchange> unanswered = new HashSet<>();
        runner.run(() -> {
            onBegin.run();
            return unanswered.addAll(openRequests.all());
        });
        await(timeoutMillis, () -> {
            unanswered.retainAll(openRequests.all());
            return unanswered.isEmpty();
        });
    }

    /**
     * Returns once no request is open and none was received since the check before, or after the time limit: a busy
     * thread has not read all requests that have arrived.
     *
     * @param onQuiet run together with the check that finds it so, so that no request is read in between
     */
    public void awaitQuiet(long timeoutMillis, Runnable onQuiet) throws InterruptedException {
        AtomicLong receivedAtLastCheck = new AtomicLong(-1);
        await(timeoutMillis, () -> {
            long received = openRequests.received();
            boolean isQuiet = receivedAtLastCheck.getAndSet(received) == received && openRequests.isEmpty();
            if (isQuiet) {
                onQuiet.run();
            }
            return isQuiet;
        });
    }

    private void await(long timeoutMillis, BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = clock.nanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (!runner.run(condition) && clock.nanos() - deadlineNanos < 0) {
            Thread.sleep(CHECK_INTERVAL_MILLIS);
        }
    }

    /**
     * Runs a check on a thread at once, and again after each interval until it returns true. A check that throws is
     * repeated.
     *
     * @return whether it returned true within the time limit
     */
    public static boolean awaitOnThread(
            XnioExecutor thread, BooleanSupplier check, long intervalMillis, long timeoutMillis)
            throws InterruptedException {
        CountDownLatch passed = new CountDownLatch(1);
        thread.execute(() -> runCheck(thread, check, intervalMillis, passed));
        return passed.await(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    private static void runCheck(
            XnioExecutor thread, BooleanSupplier check, long intervalMillis, CountDownLatch passed) {
        boolean done = false;
        try {
            done = check.getAsBoolean();
        } finally {
            if (done) {
                passed.countDown();
            } else {
                thread.executeAfter(
                        () -> runCheck(thread, check, intervalMillis, passed), intervalMillis, TimeUnit.MILLISECONDS);
            }
        }
    }

    /**
     * Logs each request that is not answered.
     *
     * @param identify adds what identifies a request to its line
     */
    public static void logUnanswered(
            OpenRequests openRequests, DecisionLog log, BiConsumer<LogLine, HttpServerExchange> identify) {
        for (HttpServerExchange each : openRequests.all()) {
            LogLine line = log.line("request unanswered at the stop");
            identify.accept(line, each);
            line.with("read", each.isRequestComplete())
                    .with("answerBegun", each.isResponseStarted())
                    .write();
        }
    }
}
