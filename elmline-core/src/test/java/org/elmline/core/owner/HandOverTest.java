package org.elmline.core.owner;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.engine.KvExport;
import org.elmline.core.engine.StreamInfo;
import org.elmline.core.route.AuditAnswer;
import org.elmline.core.route.AuditRequest;
import org.elmline.core.route.Grant;
import org.elmline.core.route.OwnerPlaceAnswer;
import org.elmline.core.route.RegisterGrants;
import org.elmline.core.route.ReleaseCause;
import org.elmline.core.stream.Cancel;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** An engine changes its owner with streams open, or the entry of an open stream is lost. */
class HandOverTest {
    private static final long CAPACITY = 100_000;
    private static final BackendServerId ENGINE = BackendServerId.of("engine-0");

    private final OwnerFixture before = new OwnerFixture().engines(1, CAPACITY);
    private final OwnerFixture after = new OwnerFixture().engines(1, CAPACITY);

    /**
     * The old owner is lost while an answer streams. The new one has no grant for it and would grant its memory
     * again. It must count the memory from the engine's listing as taken; once the gateway has registered, exactly the
     * grant is reserved, and its release frees it once.
     */
    @Test
    void registeredGrantsAreReservedOnceAndReleasedOnce() {
        Grant grant = granted(before, 39_900);
        List<StreamInfo> streams = List.of(stream(grant.attempt(), OwnerFixture.GATEWAY, 30_000));
        List<AuditRequest> audits = after.owner.onEngineListing(ENGINE, streams, List.of(), after.now);
        assertEquals(CAPACITY - 30_000, after.freeTokens());
        assertEquals(List.of(grant.attempt()), audits.get(0).attempts());
        after.owner.onAuditAnswer(audits.get(0), new AuditAnswer(List.of()), after.now);
        assertEquals(List.of(), after.owner.cancels(after.now), "the gateway still runs the attempt");

        RegisterGrants registration =
                new RegisterGrants(OwnerFixture.GATEWAY, OwnerFixture.FIRST, List.of(grant.afterFirstToken()));
        assertEquals(List.of(), after.owner.register(registration, after.now).notOwned());
        assertEquals(List.of(), after.owner.register(registration, after.now).notOwned(), "repeated registration");
        after.owner.onEngineListing(ENGINE, streams, List.of(), after.now);
        assertEquals(CAPACITY - 40_000, after.freeTokens());

        assertEquals(0, after.release(grant.attempt(), ReleaseCause.FINISHED));
        assertEquals(
                List.of(), after.owner.register(registration, after.now).notOwned(), "registration after the release");
        after.owner.onEngineListing(ENGINE, List.of(), List.of(), after.now);
        assertEquals(CAPACITY, after.freeTokens());
    }

    /**
     * A gateway cancelled a call that reached the engine after the cancel: only the gateway can report that it has
     * ended.
     */
    @Test
    void cancelsHoldingsThatTheEntryDoesNotRun() {
        AttemptId lost = AttemptId.of("given-up");
        KvExport export = new KvExport("kv", lost, OwnerFixture.GATEWAY, OwnerFixture.FIRST, 500);
        List<StreamInfo> streams = List.of(stream(lost, OwnerFixture.GATEWAY, 1_000));
        AuditRequest audit = after.owner
                .onEngineListing(ENGINE, streams, List.of(export), after.now)
                .get(0);
        after.owner.onAuditAnswer(audit, new AuditAnswer(List.of(lost, AttemptId.of("not-in-request"))), after.now);
        List<Cancel> cancels = new ArrayList<>(after.owner.cancels(after.now));
        assertEquals(2, cancels.size());
        assertTrue(
                cancels.contains(Cancel.stream(ENGINE, lost)) && cancels.contains(Cancel.export(ENGINE, lost, "kv")));
        cancels.forEach(each -> after.owner.onCancelAcknowledged(each, after.now));
        after.advance(1_000);
        assertEquals(List.of(), after.owner.cancels(after.now));
    }

    /** No entry registers the stream: after two listings its engine receives a cancel. */
    @Test
    void newOwnerCancelsStreamsOfALostEntry() {
        List<StreamInfo> streams = List.of(stream(AttemptId.of("orphan"), HostId.of("lost"), 20_000));
        after.owner.onEngineListing(ENGINE, streams, List.of(), after.now);
        assertEquals(List.of(), after.owner.cancels(after.now));
        after.engines(1, CAPACITY);
        after.advance(3_000);
        after.owner.onEngineListing(ENGINE, streams, List.of(), after.now);
        assertEquals(List.of(Cancel.stream(ENGINE, AttemptId.of("orphan"))), after.owner.cancels(after.now));
        assertEquals(CAPACITY - 20_000, after.freeTokens(), "counted as taken until a listing no longer shows it");
        after.owner.onEngineListing(ENGINE, List.of(), List.of(), after.now);
        assertEquals(CAPACITY, after.freeTokens());
    }

    /**
     * A gateway restarts and places a request before this owner's member list shows its new incarnation; then a change
     * of another host brings a list that still lacks it. Its stream must not be cancelled: the next list includes it.
     */
    @Test
    void keepsGrantsOfAnEntryBrieflyMissingFromTheMemberList() {
        granted(before, 9_900);
        before.owner.members(List.of(OwnerFixture.host("owner", "a")), before.now);
        before.advance(1_000);
        assertEquals(List.of(), before.owner.cancels(before.now));
        before.owner.members(List.of(OwnerFixture.host("owner", "a"), OwnerFixture.host("gateway", "b")), before.now);
        before.advanceWithAnnouncements(6_000, 1, CAPACITY);
        assertEquals(List.of(), before.owner.cancels(before.now));
    }

    /**
     * A gateway is suspended beyond its request's deadline. Its grant must not hold memory for the whole suspension.
     */
    @Test
    void reclaimsGrantsOfAnUnresponsiveEntryAfterTheDeadline() {
        Grant grant = granted(before, 9_900);
        before.advanceWithAnnouncements(10_000 + 4_500, 1, CAPACITY);
        assertEquals(List.of(), before.owner.cancels(before.now));
        before.advanceWithAnnouncements(1_000, 1, CAPACITY);
        List<Cancel> cancels = before.owner.cancels(before.now);
        assertEquals(List.of(Cancel.stream(ENGINE, grant.attempt())), cancels);
        before.owner.onCancelAcknowledged(cancels.get(0), before.now);
        assertEquals(CAPACITY, before.freeTokens());
        assertEquals(
                1, before.release(grant.attempt(), ReleaseCause.FINISHED), "the late release names an unknown grant");
        assertEquals(CAPACITY, before.freeTokens());
    }

    private static Grant granted(OwnerFixture fixture, int promptTokens) {
        OwnerPlaceAnswer answer =
                fixture.place(fixture.request("org", promptTokens, 0, 10_000)).orElseThrow();
        return ((OwnerPlaceAnswer.Placed) answer).grant();
    }

    private static StreamInfo stream(AttemptId attempt, HostId host, long tokens) {
        return new StreamInfo(attempt, host, Incarnation.of(1), tokens);
    }
}
