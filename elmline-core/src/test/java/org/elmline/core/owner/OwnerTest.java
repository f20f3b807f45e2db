package org.elmline.core.owner;

import java.util.List;

import org.elmline.core.common.RefusalReason;
import org.elmline.core.route.Grant;
import org.elmline.core.route.OwnerPlaceAnswer;
import org.elmline.core.route.PlaceRequest;
import org.elmline.core.route.ReleaseCause;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class OwnerTest {
    private static final int CAPACITY = 100_000;

    private final OwnerFixture fixture = new OwnerFixture();

    @Test
    void placesAndReleasesOnce() {
        fixture.engines(2, CAPACITY);
        PlaceRequest request = fixture.request("org", 1_900, 0, 10_000);
        Grant grant = granted(request);
        assertEquals(grant, granted(request), "a repeated request gets the same grant");
        assertEquals(2 * CAPACITY - 2_000, fixture.freeTokens());
        assertEquals(0, fixture.release(request.attempt(), ReleaseCause.FINISHED));
        assertEquals(
                1,
                fixture.release(request.attempt(), ReleaseCause.FINISHED),
                "the second release names an unknown grant");
        assertEquals(2 * CAPACITY, fixture.freeTokens());
    }

    @Test
    void placesNothingWithoutLease() {
        fixture.engines(1, CAPACITY);
        fixture.owner.leaseUntil(fixture.now);
        assertEquals(RefusalReason.NO_LEASE, refused(fixture.request("org", 1_000, 0, 10_000)));
    }

    @Test
    void leavingEngineGetsNoNewWorkAtOnce() {
        fixture.engines(1, CAPACITY);
        fixture.owner.announce(OwnerFixture.engine("engine-0", 1, CAPACITY, true), fixture.now);
        assertEquals(RefusalReason.NO_BACKEND_SERVER, refused(fixture.request("org", 1_000, 0, 10_000)));
    }

    @Test
    void engineGetsNoNewWorkAfterItsLeaseExpires() {
        fixture.engines(1, CAPACITY);
        fixture.advance(3_999);
        granted(fixture.request("org", 1_000, 0, 10_000));
        fixture.advance(1);
        assertEquals(RefusalReason.NO_BACKEND_SERVER, refused(fixture.request("org", 1_000, 0, 10_000)));
    }

    /**
     * The caller's entry is lost while its request runs. Nobody releases the grant, and the engine still holds its
     * memory. The owner must cancel on the engine, repeatedly until acknowledged, and only then count the memory as
     * free.
     */
    @Test
    void cancelsGrantsOfALostEntryUntilAcknowledgedThenFreesThem() {
        fixture.engines(1, CAPACITY);
        granted(fixture.request("org", 49_900, 0, 60_000));
        fixture.owner.members(List.of(OwnerFixture.host("owner", "a")), fixture.now);
        assertEquals(List.of(), fixture.owner.cancels(fixture.now), "the member list may lag");
        fixture.advanceWithAnnouncements(3_000, 1, CAPACITY);
        var first = fixture.owner.cancels(fixture.now);
        assertEquals(1, first.size());
        fixture.engines(1, CAPACITY);
        fixture.advance(500);
        assertEquals(first, fixture.owner.cancels(fixture.now), "repeated while not acknowledged");
        assertEquals(CAPACITY - 50_000, fixture.freeTokens());
        fixture.owner.onCancelAcknowledged(first.get(0), fixture.now);
        assertEquals(CAPACITY, fixture.freeTokens());
        fixture.advanceWithAnnouncements(5_000, 1, CAPACITY);
        assertTrue(fixture.owner.cancels(fixture.now).isEmpty());
    }

    /**
     * The only engine breaks an attempt off and is in cooldown for a second. A request in that second must wait and be
     * placed, rather than be refused with 503 needlessly. After repeated failures the cooldown is long, and the request
     * is refused with a time to retry after.
     */
    @Test
    void requestWaitsForShortCooldownOfTheOnlyEngine() {
        fixture.engines(1, CAPACITY);
        PlaceRequest failed = fixture.request("org", 1_000, 0, 10_000);
        granted(failed);
        fixture.release(failed.attempt(), ReleaseCause.ENGINE_FAILED);
        PlaceRequest next = fixture.request("org", 1_000, 0, 10_000);
        assertTrue(fixture.place(next).isEmpty());
        assertEquals(List.of(), fixture.advance(900));
        var decided = fixture.advance(100);
        assertInstanceOf(OwnerPlaceAnswer.Placed.class, decided.get(0).answer());
        fixture.release(next.attempt(), ReleaseCause.ENGINE_FAILED);
        OwnerPlaceAnswer.Refused answer = assertInstanceOf(
                OwnerPlaceAnswer.Refused.class,
                fixture.place(fixture.request("org", 1_000, 0, 10_000)).orElseThrow());
        assertEquals(RefusalReason.NO_BACKEND_SERVER, answer.refusal().reason());
        assertEquals(2_000, answer.refusal().retryAfterMillis());
    }

    @Test
    void refusesAtOnceRequestThatCannotMeetItsDeadline() {
        fixture.engines(1, CAPACITY);
        PlaceRequest request = fixture.request("org", 60_000, 0, 3_000);
        OwnerPlaceAnswer.Refused answer = assertInstanceOf(
                OwnerPlaceAnswer.Refused.class, fixture.place(request).orElseThrow());
        assertEquals(RefusalReason.OVERLOADED, answer.refusal().reason());
        assertTrue(answer.refusal().retryAfterMillis() > 0);
    }

    private Grant granted(PlaceRequest request) {
        return assertInstanceOf(
                        OwnerPlaceAnswer.Placed.class, fixture.place(request).orElseThrow())
                .grant();
    }

    private RefusalReason refused(PlaceRequest request) {
        return assertInstanceOf(
                        OwnerPlaceAnswer.Refused.class, fixture.place(request).orElseThrow())
                .refusal()
                .reason();
    }
}
