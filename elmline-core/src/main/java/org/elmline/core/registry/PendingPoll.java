package org.elmline.core.registry;

/**
 * A poll for news that waits for its answer.
 *
 * @param receivedAtNanos when it came
 */
public record PendingPoll(FollowRequest request, long receivedAtNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time for which a poll without news is held. Also the rate of signs of life that a follower gives. */
    public static final long HOLD_MILLIS = 500;

    /** Longest hold that a follower may ask for, so that one that is gone is noticed. */
    private static final long MAX_HOLD_MILLIS = 5_000;

    /** Control hosts up to which a follower polls each at the usual pace. */
    private static final int BASE_CONTROL_HOSTS = 5;

    /** Longer hold for each control host beyond: a follower of eight stays within three kilobytes a second. */
    private static final long EXTRA_HOLD_MILLIS_PER_HOST = 250;

    /** Part of a longer hold for which news are gathered longer, too; the other hosts tell of them meanwhile. */
    private static final double BATCH_SHARE = 0.4;

    /** The hold that a follower of so many control hosts asks for. */
    public static long holdMillis(int controlHosts) {
        return HOLD_MILLIS + Math.max(0, controlHosts - BASE_CONTROL_HOSTS) * EXTRA_HOLD_MILLIS_PER_HOST;
    }

    /** Time for which the poll is held without news. */
    public long holdMillis() {
        long asked = request.holdMillis() == 0 ? HOLD_MILLIS : request.holdMillis();
        return Math.max(BATCH_MILLIS, Math.min(MAX_HOLD_MILLIS, asked));
    }

    /**
     * Time for which news that nobody waits for are gathered. When all processes start at once, all entries and servers
     * appear within a second or two; told one by one to all followers they would be more work than a small host does in
     * that time, and the routing table would wait behind them. Gathered, a follower gets
     * ten answers a second at most. A tenth of a second is little beside the heartbeat that brings such news.
     */
    public static final long BATCH_MILLIS = 100;

    /**
     * Time for which such news are gathered for this poll. A follower that asks for a longer hold follows many control
     * hosts, and hears the same news from each of them.
     */
    private long batchMillis() {
        return Math.max(BATCH_MILLIS, (long) (BATCH_SHARE * (holdMillis() - HOLD_MILLIS)));
    }

    /** Whether it is to be answered now. */
    public boolean isDue(RegistryVersions news, long nowNanos) {
        long age = nowNanos - receivedAtNanos;
        if (age >= holdMillis() * NANOS_PER_MILLI || isUrgent(news)) {
            return true;
        }
        return age >= batchMillis() * NANOS_PER_MILLI && hasUpdates(news);
    }

    /** A follower that starts knows nothing; a table must be in force soon; a leaving server's time runs. */
    private boolean isUrgent(RegistryVersions news) {
        boolean first = request.epoch() != news.epoch();
        boolean table = request.entry() != null && news.routingVersion() > request.routingVersion();
        return first || table || news.leavingVersion() > request.serversSeen();
    }

    private boolean hasUpdates(RegistryVersions news) {
        boolean entries = request.entry() != null && news.entryVersion() != request.entriesSeen();
        return entries || news.serverVersion() > request.serversSeen();
    }
}
