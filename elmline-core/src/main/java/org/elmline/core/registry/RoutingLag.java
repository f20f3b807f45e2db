package org.elmline.core.registry;

/**
 * How far the routing table that an entry holds is behind the newest one announced to it. Written by one thread; the
 * announced version may be read by any.
 */
public final class RoutingLag {
    private volatile long announcedVersion = -1;
    private long heldVersion = -1;
    private long laggingSinceNanos;

    /** Records a version that a control host has. Returns whether it is newer than all before. */
    public boolean onAnnounced(long version, long nowNanos) {
        if (version <= announcedVersion) {
            return false;
        }
        if (!isLagging()) {
            laggingSinceNanos = nowNanos;
        }
        announcedVersion = version;
        return true;
    }

    /** Records that the table of this version is in force now. */
    public void onHeld(long version, long nowNanos) {
        heldVersion = version;
        laggingSinceNanos = nowNanos;
    }

    /** Newest announced version, -1 without one. */
    public long announcedVersion() {
        return announcedVersion;
    }

    public boolean isLagging() {
        return heldVersion < announcedVersion;
    }

    /** Whether no newer table has come into force for this time although one was announced. */
    public boolean isLaggingFor(long nanos, long nowNanos) {
        return isLagging() && nowNanos - laggingSinceNanos >= nanos;
    }
}
