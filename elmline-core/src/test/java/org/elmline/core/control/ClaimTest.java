package org.elmline.core.control;

import java.util.List;
import java.util.Random;

import org.elmline.core.common.HostId;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.common.RefusalReason;
import org.junit.jupiter.api.Test;

import static org.elmline.core.control.ControlFixture.ISSUED;
import static org.elmline.core.control.ControlFixture.SNOWPAW;
import static org.elmline.core.control.ControlFixture.ZRNO;
import static org.elmline.core.control.ControlFixture.answer;
import static org.elmline.core.control.ControlFixture.owner;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ClaimTest {
    private static final ClaimOutcome GRANTED = new ClaimOutcome.Granted();
    private static final long HOUR_MILLIS = 3_600_000;

    private final ControlFixture control = new ControlFixture();
    private final ClaimKey key = control.key(SNOWPAW);

    @Test
    void repeatReturnsTheRecordedAnswerAlsoAfterARestart() {
        assertEquals(GRANTED, control.begin(ISSUED, begin("a", 1)));
        control.finish(ISSUED, new ClaimFinish(key, owner("a", 1), answer("seat 4")));
        control.restart();

        assertEquals(new ClaimOutcome.Recorded(answer("seat 4")), control.begin(ISSUED, begin("b", 9)));
    }

    // An entry sends a seat hold and dies, and the caller retries on another entry. Taking the claim over would hold a
    // second seat, so no session may ever do so.
    @Test
    void claimOfADeadOwnerIsNeverTakenOver() {
        control.begin(ISSUED, begin("a", 1));
        control.restart();

        assertEquals(new ClaimOutcome.MayHaveRun(HostId.of("a")), control.begin(ISSUED + HOUR_MILLIS, begin("b", 1)));
    }

    @Test
    void onlyTheOwnerCanFinishAClaim() {
        control.begin(ISSUED, begin("a", 1));

        assertEquals(
                new ClaimOutcome.NotOwner(), control.finish(ISSUED, new ClaimFinish(key, owner("a", 2), answer("x"))));
        assertEquals(new ClaimOutcome.NotOwner(), control.finish(ISSUED, new ClaimFinish(key, owner("b", 1), null)));
        assertEquals(ClaimState.BEGUN, control.state.claim(key).orElseThrow().state());
    }

    // Session 1 has not sent the call and releases its claim; session 2 takes over and sends it. A late copy of session
    // 1's begin or release must not let any session send again.
    @Test
    void releasedClaimIsGrantedToOneOtherSession() {
        control.begin(ISSUED, begin("a", 1));
        ClaimFinish release = new ClaimFinish(key, owner("a", 1), null);
        control.finish(ISSUED, release);

        assertEquals(new ClaimOutcome.NotOwner(), control.begin(ISSUED, begin("a", 1)));
        assertEquals(GRANTED, control.begin(ISSUED, begin("b", 2)));
        assertEquals(new ClaimOutcome.NotOwner(), control.finish(ISSUED, release));
        assertEquals(new ClaimOutcome.MayHaveRun(HostId.of("b")), control.begin(ISSUED, begin("a", 1)));
    }

    @Test
    void recordedClaimIsNeverReleased() {
        control.begin(ISSUED, begin("a", 1));
        control.finish(ISSUED, new ClaimFinish(key, owner("a", 1), answer("x")));

        control.finish(ISSUED, new ClaimFinish(key, owner("a", 1), null));

        assertEquals(ClaimState.RECORDED, control.state.claim(key).orElseThrow().state());
    }

    @Test
    void rejectsKeyUsedForAnotherRequest() {
        control.begin(ISSUED, begin("a", 1));

        assertRefused(RefusalReason.IDEMPOTENCY_CONFLICT, new ClaimBegin(key, "other", owner("a", 1)));
    }

    // Another organisation that obtains or guesses a key must neither read the answer under it nor block its owner.
    @Test
    void organisationsDoNotShareKeys() {
        control.begin(ISSUED, begin("a", 1));
        control.finish(ISSUED, new ClaimFinish(key, owner("a", 1), answer("name and card")));

        assertRefused(
                RefusalReason.BAD_REQUEST, new ClaimBegin(new ClaimKey(ZRNO, key.key()), "digest", owner("b", 1)));
        assertFalse(control.state.claim(new ClaimKey(ZRNO, key.key())).isPresent());
    }

    // A claim is dropped after its retention, and its key arrives once more from a client that retried for days. The
    // key looks new and would run a second time unless it is refused for its age, also when the next leader's clock is
    // behind and when operators lengthen the retention.
    @Test
    void expiredKeyNeverRunsAgain() {
        control.begin(ISSUED, begin("a", 1));
        control.finish(ISSUED, new ClaimFinish(key, owner("a", 1), answer("x")));
        control.apply(new Command.ExpireClaims(ISSUED + HOUR_MILLIS));
        assertTrue(control.state.claim(key).isPresent());

        assertEquals(
                new CommandResult.ClaimsExpired(1), control.apply(new Command.ExpireClaims(ISSUED + HOUR_MILLIS + 1)));
        assertRefused(RefusalReason.KEY_EXPIRED, begin("b", 1));
        control.limits(new ControlLimits(10, 10, 10, 10 * HOUR_MILLIS, 10, 10));
        control.restart();
        assertRefused(RefusalReason.KEY_EXPIRED, begin("b", 1));
    }

    @Test
    void keyFromTheFarFutureIsRefused() {
        ClaimKey futureKey =
                new ClaimKey(SNOWPAW, IdempotencyKey.issue(SNOWPAW, ISSUED + HOUR_MILLIS + 1, new Random(1)));

        assertRefused(RefusalReason.BAD_REQUEST, new ClaimBegin(futureKey, "digest", owner("a", 1)));
    }

    @Test
    void claimsAreBoundedForEachOrganisationAndInAll() {
        control.limits(new ControlLimits(10, 3, 2, HOUR_MILLIS, 10, 10));

        assertEquals(GRANTED, control.begin(ISSUED, begin("a", 1)));
        assertEquals(GRANTED, control.begin(ISSUED, new ClaimBegin(control.key(SNOWPAW), "d", owner("a", 2))));
        assertRefused(RefusalReason.OVER_LIMIT, new ClaimBegin(control.key(SNOWPAW), "d", owner("a", 3)));
        assertEquals(GRANTED, control.begin(ISSUED, new ClaimBegin(control.key(ZRNO), "d", owner("a", 4))));
        assertRefused(RefusalReason.OVERLOADED, new ClaimBegin(control.key(ZRNO), "d", owner("a", 5)));
        assertEquals(GRANTED, control.begin(ISSUED, begin("a", 1)));
        control.apply(new Command.ExpireClaims(ISSUED + HOUR_MILLIS + 1));
        assertEquals(0, control.state.claims());
    }

    @Test
    void longAnswerIsRecordedAsDigestOnly() {
        control.limits(new ControlLimits(10, 10, 10, HOUR_MILLIS, 8, 10));
        control.begin(ISSUED, begin("a", 1));
        RecordedAnswer.Header header = new RecordedAnswer.Header("Location", "/holds/4");

        RecordedAnswer whole = RecordedAnswer.of(201, List.of(header), "123456789".getBytes());
        control.finish(ISSUED, new ClaimFinish(key, owner("a", 1), whole));

        RecordedAnswer recorded = control.state.claim(key).orElseThrow().answer();
        assertNull(recorded.body());
        assertEquals(List.of(), recorded.headers());
        assertEquals(whole.bodyDigest(), recorded.bodyDigest());
    }

    @Test
    void rejectsMalformedKeys() {
        String valid = key.key().value();
        assertEquals(key.key(), IdempotencyKey.of(valid));
        assertEquals(ISSUED, key.key().issuedMillis());
        assertTrue(key.key().belongsTo(SNOWPAW));
        assertFalse(key.key().belongsTo(OrganisationId.of("snowpaw2")));
        for (String invalid :
                new String[] {null, "", "pay-42", valid + "0", valid.toUpperCase(), "zzzzzzzzzzzz" + valid}) {
            assertTrue(IdempotencyKey.parse(invalid).isEmpty(), invalid);
        }
    }

    // A wall clock is set a year ahead for a second. Used unchanged, it would expire every key in use for a year.
    @Test
    void clockThatJumpsAheadDoesNotExpireEveryKey() {
        CommandClock clock = new CommandClock(ISSUED, ISSUED - HOUR_MILLIS, 0);

        assertEquals(ISSUED, clock.stamp(ISSUED - HOUR_MILLIS, 5_000_000_000L));
        assertEquals(ISSUED + 2_000, clock.stamp(ISSUED + 9_000 * HOUR_MILLIS, 6_000_000_000L));
        assertEquals(ISSUED + 2_000, clock.stamp(ISSUED, 7_000_000_000L));
    }

    private ClaimBegin begin(String host, long session) {
        return new ClaimBegin(key, "digest", owner(host, session));
    }

    private void assertRefused(RefusalReason reason, ClaimBegin begin) {
        assertEquals(reason, ((ClaimOutcome.Refused) control.begin(ISSUED, begin)).reason());
    }
}
