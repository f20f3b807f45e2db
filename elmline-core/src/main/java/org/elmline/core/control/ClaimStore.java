package org.elmline.core.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.elmline.core.common.OrganisationId;
import org.elmline.core.common.RefusalReason;

/**
 * Stores the claims on calls that may run at most once. Not safe for concurrent use.
 *
 * <p>A claim is dropped only when its key is older than a floor that never falls, so that the key is never accepted
 * again. Time is the greatest wall clock of any command: a leader whose clock is behind its predecessor's can't make an
 * expired key valid again. Computed from the retention alone, the floor would fall when a longer retention is set
 * later.
 */
final class ClaimStore {
    private final TreeMap<ClaimKey, Claim> claims = new TreeMap<>();
    private final Map<OrganisationId, Integer> claimCounts = new HashMap<>();
    private long timeMillis;
    private long expiryFloorMillis;

    ClaimStore() {}

    ClaimStore(ControlSnapshot from) {
        timeMillis = from.timeMillis();
        expiryFloorMillis = from.claimFloorMillis();
        from.claims().forEach(this::add);
    }

    long timeMillis() {
        return timeMillis;
    }

    long expiryFloorMillis() {
        return expiryFloorMillis;
    }

    Collection<Claim> claims() {
        return claims.values();
    }

    Optional<Claim> claim(ClaimKey key) {
        return Optional.ofNullable(claims.get(key));
    }

    List<ClaimOutcome> begin(Command.BeginClaims command, ControlLimits limits) {
        advanceTime(command.wallMillis(), limits);
        List<ClaimOutcome> outcomes = new ArrayList<>(command.claims().size());
        for (ClaimBegin each : command.claims()) {
            outcomes.add(begin(each, limits));
        }
        return outcomes;
    }

    List<ClaimOutcome> finish(Command.FinishClaims command, ControlLimits limits) {
        advanceTime(command.wallMillis(), limits);
        List<ClaimOutcome> outcomes = new ArrayList<>(command.claims().size());
        for (ClaimFinish each : command.claims()) {
            outcomes.add(finish(each, limits));
        }
        return outcomes;
    }

    int expire(long wallMillis, ControlLimits limits) {
        advanceTime(wallMillis, limits);
        int dropped = 0;
        while (!claims.isEmpty() && isExpired(claims.firstKey().key())) {
            Claim oldest = claims.pollFirstEntry().getValue();
            claimCounts.merge(oldest.key().organisation(), -1, ClaimStore::sumOrNull);
            dropped++;
        }
        return dropped;
    }

    private void advanceTime(long wallMillis, ControlLimits limits) {
        timeMillis = Math.max(timeMillis, wallMillis);
        expiryFloorMillis = Math.max(expiryFloorMillis, timeMillis - limits.claimRetentionMillis());
    }

    private boolean isExpired(IdempotencyKey key) {
        return key.issuedMillis() < expiryFloorMillis;
    }

    private ClaimOutcome begin(ClaimBegin begin, ControlLimits limits) {
        ClaimKey key = begin.key();
        if (!key.key().belongsTo(key.organisation())) {
            return new ClaimOutcome.Refused(
                    RefusalReason.BAD_REQUEST, "the idempotency key was mistyped or made for another organisation");
        }
        if (isExpired(key.key())) {
            return new ClaimOutcome.Refused(
                    RefusalReason.KEY_EXPIRED,
                    "the idempotency key was issued too long ago; whether its call ran is no longer known");
        }
        Claim current = claims.get(key);
        if (current != null) {
            return beginExisting(current, begin);
        }
        Optional<ClaimOutcome> refusal = newClaimRefusal(key, limits);
        if (refusal.isPresent()) {
            return refusal.get();
        }
        add(new Claim(key, begin.requestDigest(), begin.owner(), ClaimState.BEGUN, null));
        return new ClaimOutcome.Granted();
    }

    private Optional<ClaimOutcome> newClaimRefusal(ClaimKey key, ControlLimits limits) {
        if (key.key().issuedMillis() > timeMillis + limits.claimRetentionMillis()) {
            return Optional.of(new ClaimOutcome.Refused(
                    RefusalReason.BAD_REQUEST, "the idempotency key's issue time lies too far in the future"));
        }
        if (claimCounts.getOrDefault(key.organisation(), 0) >= limits.claimsPerOrganisation()) {
            return Optional.of(new ClaimOutcome.Refused(
                    RefusalReason.OVER_LIMIT, "the organisation has too many idempotency keys in use"));
        }
        if (claims.size() >= limits.claims()) {
            return Optional.of(
                    new ClaimOutcome.Refused(RefusalReason.OVERLOADED, "too many idempotency keys are in use"));
        }
        return Optional.empty();
    }

    private ClaimOutcome beginExisting(Claim current, ClaimBegin begin) {
        if (!current.requestDigest().equals(begin.requestDigest())) {
            return new ClaimOutcome.Refused(
                    RefusalReason.IDEMPOTENCY_CONFLICT, "the idempotency key was used for another request");
        }
        boolean sameOwner = current.owner().equals(begin.owner());
        switch (current.state()) {
            case RECORDED:
                return new ClaimOutcome.Recorded(current.answer());
            case BEGUN:
                return sameOwner
                        ? new ClaimOutcome.Granted()
                        : new ClaimOutcome.MayHaveRun(current.owner().host());
            case RELEASED:
                return sameOwner ? new ClaimOutcome.NotOwner() : reassignReleased(begin);
            default:
                throw new IllegalStateException("unknown claim state " + current.state());
        }
    }

    /**
     * Grants a released claim to another session. It is never granted again to the session that released it: a late
     * begin of that session would leave the claim begun with no session to finish it.
     */
    private ClaimOutcome reassignReleased(ClaimBegin begin) {
        claims.put(begin.key(), new Claim(begin.key(), begin.requestDigest(), begin.owner(), ClaimState.BEGUN, null));
        return new ClaimOutcome.Granted();
    }

    private ClaimOutcome finish(ClaimFinish finish, ControlLimits limits) {
        Claim current = claims.get(finish.key());
        if (current == null || !current.owner().equals(finish.owner())) {
            return new ClaimOutcome.NotOwner();
        }
        ClaimState targetState = finish.answer() == null ? ClaimState.RELEASED : ClaimState.RECORDED;
        if (current.state() == targetState) {
            return new ClaimOutcome.Finished();
        }
        if (current.state() != ClaimState.BEGUN) {
            return new ClaimOutcome.NotOwner();
        }
        RecordedAnswer answer =
                finish.answer() == null ? null : finish.answer().truncatedTo(limits.recordedBodyBytes());
        claims.put(
                finish.key(), new Claim(finish.key(), current.requestDigest(), current.owner(), targetState, answer));
        return new ClaimOutcome.Finished();
    }

    private void add(Claim claim) {
        claims.put(claim.key(), claim);
        claimCounts.merge(claim.key().organisation(), 1, Integer::sum);
    }

    private static Integer sumOrNull(int count, int change) {
        return count + change == 0 ? null : count + change;
    }
}
