package org.elmline.core.quarantine;

import java.time.Duration;

/** What a quarantined group is. A request takes longer to show itself sound than a part, as all of it must be answered. */
enum GroupKind {
    PARTS(Duration.ofSeconds(5), Duration.ofSeconds(3), Duration.ofDays(2)),
    REQUEST(Duration.ofMinutes(10), Duration.ofSeconds(10), Duration.ofHours(1));

    private final long suspicionNanos;
    private final long trialNanos;
    private final long releasedNanos;

    GroupKind(Duration suspicion, Duration trial, Duration released) {
        this.suspicionNanos = suspicion.toNanos();
        this.trialNanos = trial.toNanos();
        this.releasedNanos = released.toNanos();
    }

    static GroupKind of(PartGroup group) {
        return group.isRequest() ? REQUEST : PARTS;
    }

    /** Time without a crash after which a suspicion ends, in nanoseconds. */
    long suspicionNanos() {
        return suspicionNanos;
    }

    /**
     * Time for which a released group is kept, in nanoseconds: for parts longer than control hosts stay away, so that one
     * that returns does not quarantine the group again.
     */
    long releasedNanos() {
        return releasedNanos;
    }

    /** Time in which the result of a trial is expected, in nanoseconds. */
    long trialNanos() {
        return trialNanos;
    }
}
