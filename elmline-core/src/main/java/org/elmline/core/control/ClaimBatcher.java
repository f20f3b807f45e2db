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
    private final Lane<ClaimBegin> begins = new Lane<>(Command.BeginClaims::new);
    private final Lane<ClaimFinish> finishes = new Lane<>(Command.FinishClaims::new);

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

    /** The batches to propose now. Each must be given back to {@link #done} when it is applied or lost. */
    public List<ClaimBatch<T>> next(long wallMillis) {
        List<ClaimBatch<T>> ready = new ArrayList<>(2);
        finishes.take(wallMillis, ready);
        begins.take(wallMillis, ready);
        return ready;
    }

    /** Lets the next batch of this kind go. */
    public void done(ClaimBatch<T> batch) {
        begins.done(batch);
        finishes.done(batch);
    }

    /** Everyone whose claim was never proposed, removed from here; for a leader that is deposed. */
    public List<T> drain() {
        List<T> waiters = new ArrayList<>();
        begins.drain(waiters);
        finishes.drain(waiters);
        return waiters;
    }

    private final class Lane<C> {
        private final BiFunction<Long, List<C>, Command> toCommand;
        private final Deque<C> claims = new ArrayDeque<>();
        private final Deque<T> waiters = new ArrayDeque<>();
        private ClaimBatch<T> underWay;

        private Lane(BiFunction<Long, List<C>, Command> toCommand) {
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

        private void take(long wallMillis, List<ClaimBatch<T>> ready) {
            if (underWay != null || claims.isEmpty()) {
                return;
            }
            List<C> batch = new ArrayList<>();
            List<T> waiting = new ArrayList<>();
            while (batch.size() < maxBatch && !claims.isEmpty()) {
                batch.add(claims.remove());
                waiting.add(waiters.remove());
            }
            underWay = new ClaimBatch<>(toCommand.apply(wallMillis, batch), waiting);
            ready.add(underWay);
        }

        private void done(ClaimBatch<T> batch) {
            if (underWay == batch) {
                underWay = null;
            }
        }

        private void drain(List<T> into) {
            into.addAll(waiters);
            claims.clear();
            waiters.clear();
        }
    }
}
