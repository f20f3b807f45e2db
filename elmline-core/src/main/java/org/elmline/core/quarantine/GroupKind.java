package org.elmline.core.quarantine;

import java.time.Duration;

/** What a quarantined group is. A request takes longer to show itself sound than a part, as all of it must be answered. */
enum GroupKind {
    PARTS(Duration.ofSeconds(5), Duration.ofSeconds(3)),
    REQUEST(Duration.ofMinutes(10), Duration.ofSeconds(10));

    private final long suspicionNanos;
    private final long trialNanos;

    GroupKind(Duration suspicion, Duration trial) {
        this.suspicionNanos = suspicion.toNanos();
        this.trialNanos = trial.toNanos();
    }

    static GroupKind of(PartGroup group) {
        return group.isRequest() ? REQUEST : PARTS;
    }

    /** Time without a crash after which a suspicion ends, in nanoseconds. */
    long suspicionNanos() {
        return suspicionNanos;
    }

    /** Time in which the result of a trial is expected, in nanoseconds. */
    long trialNanos() {
        return trialNanos;
    }
}
