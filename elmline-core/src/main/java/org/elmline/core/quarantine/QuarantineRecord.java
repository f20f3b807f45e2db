package org.elmline.core.quarantine;

import java.time.Duration;

import org.elmline.core.common.HostId;
import org.elmline.core.common.ServiceName;

/**
 * What control hosts have decided on a group of parts of prompts for one service. Of two records of a group the one with
 * the higher revision holds.
 *
 * @param servers servers that ended under prompts with the group
 * @param trials trials that have been started since the group was quarantined
 * @param trialEntry the entry that may send one call as a trial now; null without a trial
 * @param untilTrialMillis time until the next trial, measured when the record is sent; -1 when only an operator
 *     can release the group
 * @param reason why the group is in this stage
 */
public record QuarantineRecord(
        ServiceName service,
        PartGroup group,
        long revision,
        QuarantineStage stage,
        int servers,
        int trials,
        HostId trialEntry,
        long untilTrialMillis,
        QuarantineReason reason) {
    /** Revisions by which an operator's decision goes before those made on the other side of a cut. */
    private static final int OPERATOR_REVISIONS = 1_000;

    /** No group is decided on as often; a higher one would overflow when the next revision is computed. */
    private static final long MAX_REVISION = 1L << 40;

    /** Longer than any pause between trials; a longer time would overflow when the next trial is computed. */
    private static final long MAX_UNTIL_TRIAL_MILLIS = Duration.ofDays(30).toMillis();

    public QuarantineRecord {
        if (service == null || group == null || stage == null || reason == null) {
            throw new IllegalArgumentException("a record needs service, group, stage and reason");
        }
        boolean inRange = revision >= 0
                && revision <= MAX_REVISION
                && servers >= 0
                && trials >= 0
                && untilTrialMillis >= -1
                && untilTrialMillis <= MAX_UNTIL_TRIAL_MILLIS;
        if (!inRange) {
            throw new IllegalArgumentException("a number of a record is out of range");
        }
    }

    /** The state of a group that nothing was decided on. */
    static QuarantineRecord unrestricted(ServiceName service, PartGroup group) {
        return new QuarantineRecord(
                service, group, 0, QuarantineStage.RELEASED, 0, 0, null, -1, QuarantineReason.UNUSED);
    }

    /** Whether this record holds rather than another one of the same group. */
    boolean supersedes(QuarantineRecord other) {
        if (revision != other.revision) {
            return revision > other.revision;
        }
        return stage.ordinal() > other.stage.ordinal();
    }

    /** Identifies the group within all services. */
    Key key() {
        return new Key(service, group);
    }

    /** A group of one service. */
    record Key(ServiceName service, PartGroup group) {}

    private long laterBy(int revisions) {
        return Math.min(MAX_REVISION, revision + revisions);
    }

    /** The same group in another stage. */
    QuarantineRecord next(QuarantineStage nextStage, QuarantineReason nextReason, int nextServers) {
        return new QuarantineRecord(service, group, laterBy(1), nextStage, nextServers, 0, null, -1, nextReason);
    }

    /** The same record with the next trial granted to an entry. */
    QuarantineRecord withTrial(HostId entry) {
        return new QuarantineRecord(
                service, group, laterBy(1), stage, servers, trials + 1, entry, untilTrialMillis, reason);
    }

    /** The same record after its trial, which may have had no result. */
    QuarantineRecord withoutTrial(int nextServers) {
        return new QuarantineRecord(
                service, group, laterBy(1), stage, nextServers, trials, null, untilTrialMillis, reason);
    }

    /** The same record with the time until its next trial, as it is sent. */
    QuarantineRecord withUntilTrial(long millis) {
        return new QuarantineRecord(service, group, revision, stage, servers, trials, trialEntry, millis, reason);
    }

    /** The same record with a revision that decisions made elsewhere at the same time do not reach. */
    QuarantineRecord overriding() {
        return new QuarantineRecord(
                service,
                group,
                laterBy(OPERATOR_REVISIONS),
                stage,
                servers,
                trials,
                trialEntry,
                untilTrialMillis,
                reason);
    }
}
