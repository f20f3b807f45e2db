package org.elmline.core.dispatch;

import java.time.Duration;

/**
 * Decides whether a dispatcher may act as the only one of its shard, for limits that two dispatchers together would
 * exceed. After a partition both sides have a first dispatcher. Only the side with a leader of the control hosts keeps
 * its confirmation, and the other side detects that within the delay, so the dispatchers of both sides never act as the
 * only one at the same time. Times are monotonic, in nanoseconds. Not safe for concurrent use.
 */
public final class SingleDispatcher {
    /**
     * Time for which a dispatcher must have been first and confirmed: the longest hold of a poll with the validity of
     * its answer, after which an entry that is cut off has lost the confirmation of its control hosts.
     */
    public static final long DELAY_NANOS = Duration.ofSeconds(4).toNanos();

    private boolean isCandidate;
    private long candidateSinceNanos;

    /**
     * Records the current state and returns whether the dispatcher may act as the only one.
     *
     * @param first whether this entry sees itself as the first dispatcher among all entries
     * @param confirmed whether it is in contact with a control host that a leader confirms
     */
    public boolean update(boolean first, boolean confirmed, long now) {
        boolean candidate = first && confirmed;
        if (candidate && !isCandidate) {
            candidateSinceNanos = now;
        }
        isCandidate = candidate;
        return candidate && now - candidateSinceNanos >= DELAY_NANOS;
    }
}
