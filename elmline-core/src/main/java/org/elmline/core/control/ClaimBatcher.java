package org.elmline.core.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.BiFunction;

/**
 * Gathers claims on the leader while earlier ones are being synced, so that one log entry and one sync serve many. At
 * most one batch of begins and one of finishes is under way; it needs no timer, since a lone claim goes at once and the
 * batches grow by themselves when syncs are slow. Not safe for concurrent use.
 *
 * @param <T> whoever waits for a claim's outcome
 */
public final class ClaimBatcher<T> {
    private final int maxBatch;
    private final int maxWaiting;
    private final PendingClaims<ClaimBegin> begins = new PendingClaims<>(Command.BeginClaims::new);
    private final PendingClaims<ClaimFinish> finishes = new PendingClaims<>(Command.FinishClaims::new);

    /**
     * @param maxBatch most claims in one command
     * @param maxWaiting most begins, and most finishes, that may wait; more are refused, as each would wait too long
     */
    public ClaimBatcher(int maxBatch, int maxWaiting) {
        this.maxBatch = maxBatch;
        this.maxWaiting = maxWaiting;
    }

    /** Takes a begin to wait for the next batch; false when too many wait already, with nothing proposed. */
    public boolean begin(ClaimBegin claim, T waiter) {
        return begins.offer(claim, waiter);
    }

    /** Takes a finish to wait for the next batch; false when too many wait already, with nothing proposed. */
    public boolean finish(ClaimFinish claim, T waiter) {
        return finishes.offer(claim, waiter);
    }

    /** The batches to propose now. Each must be given back to {@link #complete} when it is applied or lost. */
    public List<ClaimBatch<T>> nextBatches(long wallMillis) {
        List<ClaimBatch<T>> ready = new ArrayList<>(2);
        finishes.addNextBatch(wallMillis, ready);
        begins.addNextBatch(wallMillis, ready);
        return ready;
    }

    /** Lets the next batch of this kind go. */
    public void complete(ClaimBatch<T> batch) {
        begins.complete(batch);
        finishes.complete(batch);
    }

    /** Everyone whose claim was never proposed, removed from here; for a leader that is deposed. */
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

        private void addNextBatch(long wallMillis, List<ClaimBatch<T>> ready) {
            if (batchInFlight != null || claims.isEmpty()) {
                return;
            }
            List<C> batch = new ArrayList<>();
            List<T> waiting = new ArrayList<>();
            while (batch.size() < maxBatch && !claims.isEmpty()) {
                batch.add(claims.remove());
                waiting.add(waiters.remove());
            }
            batchInFlight = new ClaimBatch<>(toCommand.apply(wallMillis, batch), waiting);
            ready.add(batchInFlight);
        }

        private void complete(ClaimBatch<T> batch) {
            if (batchInFlight == batch) {
                batchInFlight = null;
            }
        }

        private void drainWaiters(List<T> into) {
            into.addAll(waiters);
            claims.clear();
            waiters.clear();
        }
    }
}
