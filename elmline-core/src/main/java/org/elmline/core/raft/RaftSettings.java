package org.elmline.core.raft;

import java.time.Duration;

/**
 * Timeouts and limits of the replicated log. Must be the same on all replicas, because the leader's lease depends on
 * them. Sizes are in bytes.
 */
public record RaftSettings(
        Duration electionTimeout,
        Duration heartbeat,
        int leaseMarginPercent,
        int maxAppendBytes,
        int maxInflightBytes,
        int maxUncommittedBytes,
        int maxCommandBytes,
        int snapshotChunkBytes,
        int retainedEntries) {

    private static final int PERCENT = 100;

    public RaftSettings {
        if (heartbeat.toNanos() < 1 || heartbeat.toNanos() * 2 > electionTimeout.toNanos()) {
            throw new IllegalArgumentException("the election timeout must be at least two heartbeats");
        }
        if (leaseMarginPercent < 1 || leaseMarginPercent >= PERCENT) {
            throw new IllegalArgumentException("lease margin out of 1 to 99 percent: " + leaseMarginPercent);
        }
        if (maxAppendBytes < 1 || maxCommandBytes < 1 || snapshotChunkBytes < 1 || retainedEntries < 0) {
            throw new IllegalArgumentException(
                    "maxAppendBytes, maxCommandBytes and snapshotChunkBytes must be at least 1,"
                            + " retainedEntries at least 0");
        }
    }

    public static Builder builder() {
        return new Builder();
    }

    long electionTimeoutNanos() {
        return electionTimeout.toNanos();
    }

    long heartbeatNanos() {
        return heartbeat.toNanos();
    }

    /** Length of the lease: the election timeout less the margin for clocks that run at different speeds. */
    long leaseNanos() {
        return electionTimeoutNanos() / PERCENT * (PERCENT - leaseMarginPercent);
    }

    /** Builds settings; values that are not set have their default. */
    public static final class Builder {
        private Duration electionTimeout = Duration.ofMillis(1_000);
        private Duration heartbeat = Duration.ofMillis(100);
        private int leaseMarginPercent = 10;
        private int maxAppendBytes = 256 * 1024;
        private int maxInflightBytes = 4 * 1024 * 1024;
        private int maxUncommittedBytes = 16 * 1024 * 1024;
        private int maxCommandBytes = 1024 * 1024;
        private int snapshotChunkBytes = 256 * 1024;
        private int retainedEntries = 2_000;

        private Builder() {}

        /**
         * Shortest time without contact from a leader after which a replica starts an election; the longest is twice
         * that.
         */
        public Builder electionTimeout(Duration value) {
            electionTimeout = value;
            return this;
        }

        public Builder heartbeat(Duration value) {
            heartbeat = value;
            return this;
        }

        /** Greatest difference in speed between two clocks, in percent; shortens the leader's lease. */
        public Builder leaseMarginPercent(int value) {
            leaseMarginPercent = value;
            return this;
        }

        public Builder maxAppendBytes(int value) {
            maxAppendBytes = value;
            return this;
        }

        /**
         * Bytes in flight to one follower, not yet acknowledged; also the limit of what is retained before a snapshot.
         */
        public Builder maxInflightBytes(int value) {
            maxInflightBytes = value;
            return this;
        }

        /** Bytes proposed and not yet committed; further proposals are refused. */
        public Builder maxUncommittedBytes(int value) {
            maxUncommittedBytes = value;
            return this;
        }

        public Builder maxCommandBytes(int value) {
            maxCommandBytes = value;
            return this;
        }

        public Builder snapshotChunkBytes(int value) {
            snapshotChunkBytes = value;
            return this;
        }

        /** Entries retained in memory before a snapshot, for followers that lag only a little. */
        public Builder retainedEntries(int value) {
            retainedEntries = value;
            return this;
        }

        public RaftSettings build() {
            return new RaftSettings(
                    electionTimeout,
                    heartbeat,
                    leaseMarginPercent,
                    maxAppendBytes,
                    maxInflightBytes,
                    maxUncommittedBytes,
                    maxCommandBytes,
                    snapshotChunkBytes,
                    retainedEntries);
        }
    }
}
