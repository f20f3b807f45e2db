package org.elmline.core.dispatch;

/**
 * How many calls of a service may be retried.
 *
 * @param ratio retries for each first send
 * @param slack further retries per window, so that a service with few calls may retry at all
 * @param windowNanos length of the window
 */
public record RetryLimit(double ratio, long slack, long windowNanos) {
    /** The limit for one shard; those of all shards together keep to this one. */
    public RetryLimit forShard(Shard shard) {
        long rest = slack % shard.count();
        return new RetryLimit(ratio, slack / shard.count() + (shard.index() < rest ? 1 : 0), windowNanos);
    }
}
