package org.elmline.core.owner;

import org.elmline.core.ledger.LedgerSettings;

/** Settings of an owner; every time is in milliseconds. */
public final class OwnerSettings {
    private final long announceIntervalMillis;
    private final long leaseMillis;
    private final int queueCapacity;
    private final long engineQueueMillis;
    private final long reclaimGraceMillis;
    private final long orphanGraceMillis;
    private final LedgerSettings ledger;

    private OwnerSettings(Builder builder) {
        announceIntervalMillis = builder.announceIntervalMillis;
        leaseMillis = builder.leaseMillis;
        queueCapacity = builder.queueCapacity;
        engineQueueMillis = builder.engineQueueMillis;
        reclaimGraceMillis = builder.reclaimGraceMillis;
        orphanGraceMillis = builder.orphanGraceMillis;
        ledger = builder.ledger;
    }

    public static Builder builder() {
        return new Builder();
    }

    public long announceIntervalMillis() {
        return announceIntervalMillis;
    }

    /** Time without an announcement after which a backend server gets no new work. */
    public long leaseMillis() {
        return leaseMillis;
    }

    /** Maximum number of requests that wait for one model. */
    public int queueCapacity() {
        return queueCapacity;
    }

    /** Prefill backlog that an engine may hold ahead of a request; above it the request waits at the owner. */
    public long engineQueueMillis() {
        return engineQueueMillis;
    }

    /** Time after a grant's deadline at which the owner cancels it on the engine, in place of its entry. */
    public long reclaimGraceMillis() {
        return reclaimGraceMillis;
    }

    /**
     * Minimum time between two listings that must both show an orphaned stream before it is cancelled; also the time
     * for which a host must be missing from the member list before its grants are reclaimed.
     */
    public long orphanGraceMillis() {
        return orphanGraceMillis;
    }

    public LedgerSettings ledger() {
        return ledger;
    }

    /** Starts from values for one region with fast links. */
    public static final class Builder {
        private long announceIntervalMillis = 1_000;
        private long leaseMillis = 4_000;
        private int queueCapacity = 256;
        private long engineQueueMillis = 2_000;
        private long reclaimGraceMillis = 5_000;
        private long orphanGraceMillis = 3_000;
        private LedgerSettings ledger = LedgerSettings.DEFAULT;

        private Builder() {}

        public Builder announceIntervalMillis(long value) {
            announceIntervalMillis = value;
            return this;
        }

        public Builder leaseMillis(long value) {
            leaseMillis = value;
            return this;
        }

        public Builder queueCapacity(int value) {
            queueCapacity = value;
            return this;
        }

        public Builder engineQueueMillis(long value) {
            engineQueueMillis = value;
            return this;
        }

        public Builder reclaimGraceMillis(long value) {
            reclaimGraceMillis = value;
            return this;
        }

        public Builder orphanGraceMillis(long value) {
            orphanGraceMillis = value;
            return this;
        }

        public Builder ledger(LedgerSettings value) {
            ledger = value;
            return this;
        }

        public OwnerSettings build() {
            if (leaseMillis <= announceIntervalMillis) {
                throw new IllegalArgumentException("a lease must outlast the interval between announcements");
            }
            return new OwnerSettings(this);
        }
    }
}
