package org.elmline.core.registry;

/**
 * A poll that a control host holds until it answers. Immutable.
 *
 * @param receivedAtNanos when the poll was received
 */
public record PendingPoll(FollowRequest request, long receivedAtNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Default time for which a poll without changes is held. As polls also serve as a follower's heartbeats, it sets
     * their interval, too.
     */
    public static final long HOLD_MILLIS = 500;

    /** Longest hold that a follower may request; bounds the time until the loss of a follower is detected. */
    private static final long MAX_HOLD_MILLIS = 5_000;

    /** Number of control hosts up to which a follower polls each at the default interval. */
    private static final int BASE_CONTROL_HOSTS = 5;

    /**
     * Additional hold for each control host beyond {@link #BASE_CONTROL_HOSTS}; keeps the traffic of a follower of
     * eight control hosts within three kilobytes a second.
     */
    private static final long EXTRA_HOLD_MILLIS_PER_HOST = 250;

    /**
     * Share of the hold beyond {@link #HOLD_MILLIS} for which changes are batched, if that is longer than
     * {@link #BATCH_MILLIS}. Meanwhile the other control hosts report the same changes.
     */
    private static final double BATCH_SHARE = 0.4;

    /** The hold that a follower of the given number of control hosts requests, in milliseconds. */
    public static long holdMillis(int controlHosts) {
        return HOLD_MILLIS + Math.max(0, controlHosts - BASE_CONTROL_HOSTS) * EXTRA_HOLD_MILLIS_PER_HOST;
    }

    /** Time for which this poll is held without changes, in milliseconds. */
    public long holdMillis() {
        long requested = request.holdMillis() == 0 ? HOLD_MILLIS : request.holdMillis();
        return Math.max(BATCH_MILLIS, Math.min(MAX_HOLD_MILLIS, requested));
    }

    /**
     * Time for which changes that are not urgent are batched. When all processes start at once, all entries and servers
     * appear within a second or two. Reporting each of them separately to all followers would exceed the capacity of a
     * small host in that time and would delay the routing table. With batching, a follower receives at most ten answers
     * a second. A tenth of a second is short compared with the interval of the heartbeats that bring such changes.
     */
    public static final long BATCH_MILLIS = 100;

    /**
     * Batching time of this poll. A follower that requests a longer hold follows many control hosts and receives the
     * same changes from each of them.
     */
    private long batchMillis() {
        return Math.max(BATCH_MILLIS, (long) (BATCH_SHARE * (holdMillis() - HOLD_MILLIS)));
    }

    /** Whether the poll must be answered now. */
    public boolean isDue(RegistryVersions versions, long nowNanos) {
        long age = nowNanos - receivedAtNanos;
        if (age >= holdMillis() * NANOS_PER_MILLI || isUrgent(versions)) {
            return true;
        }
        return age >= batchMillis() * NANOS_PER_MILLI && hasUpdates(versions);
    }

    /**
     * Whether a change must not wait: the follower has no state of this start of the control host, a new routing table
     * or changed evacuations must take effect soon, a leaving server waits until followers have acknowledged that it
     * leaves, or a call is to be refused whose caller sends it again at another entry within some milliseconds.
     */
    private boolean isUrgent(RegistryVersions versions) {
        boolean first = request.epoch() != versions.epoch();
        boolean table = request.entry() != null && versions.routingVersion() > request.routingVersion();
        boolean evacuation = request.lacksEvacuation(versions.evacuationVersion());
        boolean restriction = request.entry() != null && versions.restrictionVersion() > request.quarantineSeen();
        return first || table || evacuation || restriction || versions.leavingVersion() > request.serversSeen();
    }

    private boolean hasUpdates(RegistryVersions versions) {
        boolean entriesChanged = request.heldEntryChanges()
                ? versions.expiryVersion() > request.entriesSeen()
                : versions.entryVersion() != request.entriesSeen();
        boolean entries = request.entry() != null && entriesChanged;
        boolean quarantine = versions.quarantineVersion() != request.quarantineSeen();
        return entries || quarantine || versions.serverVersion() > request.serversSeen();
    }
}
