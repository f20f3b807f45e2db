package org.elmline.core.dispatch;

/**
 * Decides when a server gets no calls, by how its calls end: health checks cost work, and a faulty server may pass
 * them. The backoff doubles with each failed trial, so that a server that is gone costs fewer and fewer calls, and ends
 * by itself, so that a recovered server is detected. Not safe for concurrent use.
 */
final class ServerHealth {
    /** First backoff: about the time a process takes to restart. */
    private static final long INITIAL_BACKOFF_NANOS = 1_000_000_000L;

    /** Longest backoff; a recovered server is detected within this time. */
    private static final long MAX_BACKOFF_NANOS = 8_000_000_000L;

    /** Backoff for a server that is full: a few service times. */
    private static final long BUSY_BACKOFF_NANOS = 60_000_000L;

    /** Consecutive failures that start a backoff; single failures happen on healthy servers. */
    private static final int FAILURES_BEFORE_BACKOFF = 3;

    /** Score that starts a backoff for a server that fails a part of its calls: half of the most recent ones. */
    private static final double FAILURE_SCORE_THRESHOLD = 0.5;

    /** Weight of the newest result in the score. */
    private static final double FAILURE_SCORE_WEIGHT = 0.2;

    private long backoffUntilNanos = Long.MIN_VALUE;
    private long backoffNanos = INITIAL_BACKOFF_NANOS;
    private int consecutiveFailures;
    private double failureScore;

    boolean isBackingOff(long now) {
        return backoffUntilNanos != Long.MIN_VALUE && now - backoffUntilNanos < 0;
    }

    void record(AttemptEnd end, long now) {
        switch (end.healthSignal()) {
            case SUCCESS -> recordSuccess();
            case FAILURE -> recordFailure(now, FAILURE_SCORE_WEIGHT);
            case TIMEOUT -> recordFailure(now, 2 * FAILURE_SCORE_WEIGHT);
            case UNREACHABLE -> startBackoff(now);
            case BUSY -> backoffUntilNanos =
                    Math.max(backoffUntilNanos == Long.MIN_VALUE ? now : backoffUntilNanos, now + BUSY_BACKOFF_NANOS);
            default -> {
                // A disconnected caller indicates nothing about the server.
            }
        }
    }

    /** Records that another server could not reach this one, or not use it. */
    void recordUnreachable(long now) {
        startBackoff(now);
    }

    private void recordSuccess() {
        consecutiveFailures = 0;
        failureScore *= 1 - FAILURE_SCORE_WEIGHT;
        backoffNanos = INITIAL_BACKOFF_NANOS;
    }

    private void recordFailure(long now, double weight) {
        consecutiveFailures++;
        failureScore += weight * (1 - failureScore);
        if (consecutiveFailures >= FAILURES_BEFORE_BACKOFF || failureScore >= FAILURE_SCORE_THRESHOLD) {
            startBackoff(now);
        }
    }

    private void startBackoff(long now) {
        if (isBackingOff(now)) {
            return;
        }
        backoffUntilNanos = now + backoffNanos;
        backoffNanos = Math.min(2 * backoffNanos, MAX_BACKOFF_NANOS);
        consecutiveFailures = 0;
        failureScore /= 2;
    }
}
