package org.elmline.core.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.BiFunction;

/**
 * Collects claims on the leader while earlier ones are being synced, so that one log entry and one sync serve many. At
 * most one batch of begins and one of finishes is in flight. No timer is needed: a single claim is proposed at once,
 * and batches grow when syncs are slow. Not safe for concurrent use.
 *
 * @param <T> identifies the caller waiting for a claim's outcome
 */
public final class ClaimBatcher<T> {
    private final int maxBatch;
    private final int maxWaiting;
    private final PendingClaims<ClaimBegin> begins = new PendingClaims<>(Command.BeginClaims::new);
    private final PendingClaims<ClaimFinish> finishes = new PendingClaims<>(Command.FinishClaims::new);

    /**
     * @param maxBatch most claims in one command
     * @param maxWaiting most begins, and most finishes, that may be queued; more are rejected, since their waiting time
     *     would be too long
     */
    public ClaimBatcher(int maxBatch, int maxWaiting) {
        this.maxBatch = maxBatch;
        this.maxWaiting = maxWaiting;
    }

    /** Queues a begin for the next batch. Returns false, with nothing proposed, when the queue is full. */
    public boolean begin(ClaimBegin claim, T waiter) {
        return begins.offer(claim, waiter);
    }

    /** Queues a finish for the next batch. Returns false, with nothing proposed, when the queue is full. */
    public boolean finish(ClaimFinish claim, T waiter) {
        return finishes.offer(claim, waiter);
    }

    /** Returns the batches to propose now. Each must be passed to {@link #complete} once it is applied or lost. */
    public List<ClaimBatch<T>> nextBatches(long wallMillis) {
        List<ClaimBatch<T>> batches = new ArrayList<>(2);
        finishes.addNextBatch(wallMillis, batches);
        begins.addNextBatch(wallMillis, batches);
        return batches;
    }

    /** Marks a batch as no longer in flight, so that the next one of its kind can be proposed. */
    public void complete(ClaimBatch<T> batch) {
        begins.complete(batch);
        finishes.complete(batch);
    }

    /** Removes and returns the waiters of all claims that were not proposed. Called when the leader is deposed. */
    public List<T> drainWaiters() {
        List<T> waiters = new ArrayList<>();
        begins.drainWaiters(waiters);
        finishes.drainWaiters(waiters);
        return waiters;
    }

    private final class PendingClaims<C> {
        private final BiFunction<Long, List<C>, Command> toCommand;
        private final Deque<C> claims = new ArrayDeque<>();
        private final Deque<T> waiters = new ArrayDeque<>();
        private ClaimBatch<T> batchInFlight;

        private PendingClaims(BiFunction<Long, List<C>, Command> toCommand) {
            this.toCommand = toCommand;
        }

        private boolean offer(C claim, T waiter) {
            if (claims.size() >= maxWaiting) {
                return false;
            }
            claims.add(claim);
            waiters.add(waiter);
            return true;
        }

        private void addNextBatch(long wallMillis, List<ClaimBatch<T>> batches) {
            if (batchInFlight != null || claims.isEmpty()) {
                return;
            }
            List<C> batch = new ArrayList<>();
            List<T> batchWaiters = new ArrayList<>();
            while (batch.size() < maxBatch && !claims.isEmpty()) {
                batch.add(claims.remove());
                batchWaiters.add(waiters.remove());
            }
            batchInFlight = new ClaimBatch<>(toCommand.apply(wallMillis, batch), batchWaiters);
            batches.add(batchInFlight);
        }

        private void complete(ClaimBatch<T> batch) {
            if (batchInFlight == batch) {
                batchInFlight = null;
            }
        }

        private void drainWaiters(List<T> drained) {
            drained.addAll(waiters);
            claims.clear();
            waiters.clear();
        }
    }
}
