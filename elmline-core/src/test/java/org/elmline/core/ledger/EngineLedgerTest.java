package org.elmline.core.ledger;

import java.util.List;
import java.util.Set;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.engine.CacheEvents;
import org.elmline.core.owner.OwnerFixture;
import org.elmline.core.placement.Demand;
import org.elmline.core.route.PlaceRequest;
import org.elmline.core.route.ReleaseCause;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** How an owner estimates its engines' speed and cache contents from their answers and cache events. */
class EngineLedgerTest {
    private static final long CAPACITY = 1_000_000;
    private static final int ANNOUNCED = 10_000;

    /**
     * An engine runs at a tenth of its speed and reports no load. The first token of a 4,000-token prompt, which should
     * take 0.4 s, has not come after 2 s. No report of the engine shows that it is slow; the overdue first token must.
     */
    @Test
    void overdueFirstTokenLowersEstimatedSpeed() {
        OwnerFixture fixture = new OwnerFixture().engines(1, CAPACITY);
        fixture.place(fixture.request("org", 4_000, 0, 60_000));
        int before = speed(fixture);
        fixture.advanceWithAnnouncements(2_000, 1, CAPACITY);
        assertTrue(speed(fixture) < before / 3, "tokens a second estimated: " + speed(fixture));
    }

    @Test
    void lateFirstTokensLowerEstimatedSpeed() {
        OwnerFixture fixture = new OwnerFixture().engines(1, CAPACITY);
        assertEquals(ANNOUNCED, speed(fixture));
        for (int i = 0; i < 10; i++) {
            PlaceRequest request = fixture.request("org", ANNOUNCED / 10, 0, 60_000);
            fixture.place(request);
            fixture.advanceWithAnnouncements(1_000, 1, CAPACITY);
            fixture.firstToken(request.attempt());
            fixture.release(request.attempt(), ReleaseCause.FINISHED);
        }
        assertTrue(speed(fixture) < 0.2 * ANNOUNCED, "tokens a second estimated: " + speed(fixture));
        fixture.advanceWithAnnouncements(120_000, 1, CAPACITY);
        assertTrue(speed(fixture) > 0.8 * ANNOUNCED, "the estimate recovers after two idle minutes");
    }

    @Test
    void cancelledPromptNoLongerBoundsSpeed() {
        OwnerFixture fixture = new OwnerFixture().engines(1, CAPACITY);
        PlaceRequest request = fixture.request("org", 4_000, 0, 60_000);
        fixture.place(request);
        fixture.advanceWithAnnouncements(5_000, 1, CAPACITY);
        int slow = speed(fixture);
        fixture.release(request.attempt(), ReleaseCause.CANCELLED);
        fixture.advanceWithAnnouncements(120_000, 1, CAPACITY);
        assertTrue(speed(fixture) > slow);
    }

    @Test
    void cacheEstimateFollowsEventsAndIsClearedAfterGap() {
        Ledger ledger = new Ledger(LedgerSettings.DEFAULT);
        BackendServerId id = BackendServerId.of("engine-0");
        ledger.announce(OwnerFixture.engine("engine-0", 1, CAPACITY, false), 0);
        EngineLedger engine = ledger.engine(id).orElseThrow();
        Demand demand = new Demand(OwnerFixture.MODEL, "", 1_600, 10, List.of(11L, 12L, 13L), 0, 1_000, Set.of());
        ledger.applyCacheEvents(id, events(2, 1, 2));
        assertEquals(2 * 512, engine.cachedTokens(demand));
        ledger.applyCacheEvents(id, events(4, 4));
        assertFalse(engine.isCacheInSync());
        assertEquals(0, engine.cachedTokens(demand), "number 3 is missing and may have evicted the first block");
        ledger.applyCacheEvents(id, events(7, 5, 6, 7));
        assertTrue(engine.isCacheInSync());
        ledger.applyCacheEvents(id, events(9, 8));
        assertFalse(engine.isCacheInSync(), "the last event of the batch is missing");
    }

    @Test
    void cacheEstimateIsBounded() {
        PrefixCacheEstimate estimate = new PrefixCacheEstimate();
        for (long i = 0; i < 20_000; i += 4) {
            estimate.recordStored(List.of(i, i + 1, i + 2, i + 3));
        }
        assertEquals(4_096, estimate.size());
        assertEquals(4, estimate.leadingBlocks(List.of(19_996L, 19_997L, 19_998L, 19_999L)));
        assertEquals(16, estimate.recentFirstBlocks(100).size());
    }

    /** Events that store block 10 + sequence for each sequence number. */
    private static CacheEvents events(long last, long... sequences) {
        List<CacheEvents.Event> events = java.util.Arrays.stream(sequences)
                .mapToObj(each -> new CacheEvents.Event(each, 10 + each, true))
                .toList();
        return new CacheEvents(events, last);
    }

    private static int speed(OwnerFixture fixture) {
        return fixture.owner
                .summary(OwnerFixture.MODEL, fixture.now)
                .orElseThrow()
                .prefillTokensPerSecond();
    }

    @Test
    void releaseBeforeReservationIsRecorded() {
        Ledger ledger = new Ledger(LedgerSettings.DEFAULT);
        AttemptId attempt = AttemptId.of("late");
        ledger.release(attempt, false, 0);
        assertTrue(ledger.wasReleased(attempt));
    }
}
