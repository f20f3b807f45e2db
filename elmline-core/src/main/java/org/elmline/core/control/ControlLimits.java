package org.elmline.core.control;

/**
 * Bounds on the replicated state. They are part of {@link Command.StartLeadership}: if each replica read them from its
 * own settings, two settings files that differ would make replicas decide differently and diverge undetected.
 *
 * @param ticketRecords decided tickets kept to answer a resend
 * @param claims claims kept over all organisations
 * @param claimsPerOrganisation claims kept for one organisation, so that one can't use up all
 * @param claimRetentionMillis age of an idempotency key, from its issue, at which it is refused and its claim dropped
 * @param recordedBodyBytes longest answer body recorded with a claim; of a longer one only the digest is kept
 * @param endedHosts ended hosts kept to compute members' deltas and to reject earlier incarnations
 */
public record ControlLimits(
        int ticketRecords,
        int claims,
        int claimsPerOrganisation,
        long claimRetentionMillis,
        int recordedBodyBytes,
        int endedHosts) {
    public static final ControlLimits DEFAULT = new ControlLimits(20_000, 30_000, 10_000, 3_600_000, 2_048, 2_000);

    public ControlLimits {
        if (ticketRecords < 1 || claims < 1 || claimsPerOrganisation < 1 || endedHosts < 1) {
            throw new IllegalArgumentException("control limits must be at least 1");
        }
        if (claimRetentionMillis < 1 || recordedBodyBytes < 0) {
            throw new IllegalArgumentException("claimRetentionMillis must be at least 1, recordedBodyBytes at least 0");
        }
    }
}
