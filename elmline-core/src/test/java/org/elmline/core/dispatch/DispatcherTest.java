package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.ServiceName;
import org.elmline.core.routing.BatchTiming;
import org.elmline.core.routing.RoutedService;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Placement, queueing and release of slots by a dispatcher. */
class DispatcherTest {
    private static final long MILLI = 1_000_000L;
    private static final ServiceName SERVICE = TestServers.SERVICE;
    private static final BatchTiming TIMING =
            new BatchTiming(11, 450_000, 46, 0.925, 0.007, 0.00254, 256, 0.0917, 2048, 0.1);
    private static final RoutedService ENGINES = new RoutedService(SERVICE, 819, TIMING);
    private static final RoutedService PLAIN = new RoutedService(SERVICE, 248, null);
    private static final RetryLimit RETRIES = new RetryLimit(0.2, 2, 10_000 * MILLI);

    private int nextAttempt;

    private static Dispatcher dispatcher(RoutedService service, int servers, int slots) {
        Dispatcher dispatcher = new Dispatcher(service, RETRIES, 0);
        dispatcher.updateServers(service, TestServers.servers(servers, slots), 0);
        return dispatcher;
    }

    private DispatchCall call(
            long promptTokens,
            long answerTokens,
            long aimMillis,
            int gapMillis,
            long deadlineMillis,
            boolean repeated) {
        return new DispatchCall(
                "c" + nextAttempt++,
                HostId.of("e"),
                1,
                FailureDomain.of("a"),
                SERVICE,
                Shard.WHOLE,
                1,
                promptTokens,
                answerTokens,
                answerTokens,
                aimMillis,
                gapMillis,
                deadlineMillis,
                deadlineMillis,
                repeated,
                List.of());
    }

    private DispatchCall shortCall() {
        return call(5_000, 1_600, 300, 200, 10_000, false);
    }

    private DispatchCall longCall(long tokens) {
        return call(tokens, 800, 3_000, 800, 15_000, false);
    }

    private DispatchCall plainCall(long deadlineMillis) {
        return call(0, 0, 100, 0, deadlineMillis, false);
    }

    private static DispatchAnswer.Granted granted(DispatchAnswer answer) {
        return assertInstanceOf(DispatchAnswer.Granted.class, answer);
    }

    /**
     * Guards against answers that stall for over a second because a prompt of 210 thousand tokens is prefilled on the
     * engine that decodes them. Short calls share few engines, so the long call finds enough without short answers.
     */
    @Test
    void placesLongCallAwayFromShortAnswers() {
        Dispatcher dispatcher = dispatcher(ENGINES, 6, 11);
        List<BackendServerId> shortCallServers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            DispatchAnswer.Granted grant = granted(dispatcher.place(shortCall(), 0));
            dispatcher.report(new AttemptReport(grant.attempt(), null), 0);
            shortCallServers.add(grant.server());
        }
        assertEquals(1, shortCallServers.stream().distinct().count(), "short calls are packed");
        DispatchAnswer.Granted longGrant = granted(dispatcher.place(longCall(210_000), 10 * MILLI));
        assertNotEquals(shortCallServers.get(0), longGrant.server());
        assertTrue(longGrant.helpers().stream().noneMatch(each -> shortCallServers.contains(each.server())));
        assertEquals(4, longGrant.helpers().size(), "all five free engines prefill");
        assertTrue(longGrant.firstMillis() < 1_000, "first token in " + longGrant.firstMillis());
    }

    /** Guards against a silent server that is taken for free while its calls go on, or that gets further calls. */
    @Test
    void silenceCountsAgainstServerAndKeepsItsGrant() {
        Dispatcher dispatcher = dispatcher(PLAIN, 3, 4);
        List<DispatchAnswer.Granted> grants = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            grants.add(granted(dispatcher.place(plainCall(10_000), 0)));
        }
        BackendServerId silent = grants.get(0).server();
        grants.stream()
                .filter(each -> each.server().equals(silent))
                .forEach(each -> dispatcher.report(AttemptReport.silence(each.attempt()), 0));
        assertEquals(9, dispatcher.running());
        assertNotEquals(silent, granted(dispatcher.place(plainCall(10_000), 0)).server());
        assertNotEquals(silent, granted(dispatcher.place(plainCall(10_000), 0)).server());
    }

    /**
     * A prompt larger than one engine's memory is kept on several, and one larger than all of them is refused at once.
     */
    @Test
    void reservesMemoryOfHugePromptOnSeveralEngines() {
        Dispatcher dispatcher = dispatcher(ENGINES, 10, 11);
        DispatchAnswer.Granted grant = granted(dispatcher.place(longCall(700_000), 0));
        long reserved = grant.helpers().stream().mapToLong(Helper::memoryTokens).sum();
        assertTrue(reserved >= 700_800 - 450_000, "reserved " + reserved);
        assertTrue(grant.helpers().stream().allMatch(each -> each.memoryTokens() <= 450_000));
        DispatchAnswer.Refused refused = assertInstanceOf(
                DispatchAnswer.Refused.class, dispatcher(ENGINES, 2, 11).place(longCall(1_000_000), 0));
        assertEquals(DispatchAnswer.RefusalCause.TOO_LARGE, refused.why());
    }

    /** A second long prompt waits for engines that prefill, and is placed when they have finished. */
    @Test
    void queuesLongCallUntilPrefillHasFinished() {
        Dispatcher dispatcher = dispatcher(ENGINES, 4, 11);
        DispatchAnswer.Granted first = granted(dispatcher.place(longCall(210_000), 0));
        DispatchCall second = longCall(210_000);
        assertInstanceOf(DispatchAnswer.Queued.class, dispatcher.place(second, 0));
        assertInstanceOf(DispatchAnswer.Queued.class, dispatcher.place(second, 100 * MILLI), "repeated request");
        dispatcher.report(new AttemptReport(first.attempt(), null), 800 * MILLI);
        List<DispatchAnswer> decided = dispatcher.tick(810 * MILLI);
        assertEquals(second.attempt(), granted(decided.get(0)).attempt());
    }

    /**
     * Guards against a long prompt that waits until its caller times out because short calls arrive so fast that there
     * are always some on every engine. While it waits, new short calls are kept from some engines until those are free.
     */
    @Test
    void reservesEnginesForWaitingLongCall() {
        Dispatcher dispatcher = dispatcher(ENGINES, 3, 11);
        Map<String, Long> ends = new HashMap<>();
        DispatchCall longCall = longCall(300_000);
        boolean placed = false;
        for (int step = 0; step < 500 && !placed; step++) {
            long now = step * 10L * MILLI;
            if (step == 100) {
                dispatcher.place(longCall, now);
            }
            if (step % 2 == 0 && dispatcher.place(shortCall(), now) instanceof DispatchAnswer.Granted grant) {
                dispatcher.report(new AttemptReport(grant.attempt(), null), now);
                ends.put(grant.attempt(), now + 400 * MILLI);
            }
            ends.entrySet().removeIf(each -> {
                boolean over = each.getValue() <= now;
                if (over) {
                    dispatcher.report(new AttemptReport(each.getKey(), AttemptEnd.DONE), now);
                }
                return over;
            });
            placed = dispatcher.tick(now).stream()
                    .anyMatch(each ->
                            each.attempt().equals(longCall.attempt()) && each instanceof DispatchAnswer.Granted);
        }
        assertTrue(placed);
    }

    @Test
    void spreadsPlainCallsAndQueuesThemOnlyWithoutFreeSlots() {
        Dispatcher dispatcher = dispatcher(PLAIN, 3, 2);
        Map<BackendServerId, Integer> counts = new HashMap<>();
        List<String> attempts = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            DispatchAnswer.Granted grant = granted(dispatcher.place(plainCall(1_000), 0));
            counts.merge(grant.server(), 1, Integer::sum);
            attempts.add(grant.attempt());
        }
        assertEquals(List.of(2, 2, 2), List.copyOf(counts.values()));
        DispatchCall waitingCall = plainCall(1_000);
        assertInstanceOf(DispatchAnswer.Queued.class, dispatcher.place(waitingCall, 0));
        dispatcher.report(new AttemptReport(attempts.get(0), AttemptEnd.DONE), MILLI);
        assertEquals(waitingCall.attempt(), dispatcher.tick(MILLI).get(0).attempt());
    }

    /**
     * A call that cannot meet its deadline is refused at once, with a retry time, instead of being queued until its
     * deadline.
     */
    @Test
    void refusesCallThatWouldMissItsDeadline() {
        Dispatcher dispatcher = dispatcher(PLAIN, 1, 1);
        granted(dispatcher.place(plainCall(1_000), 0));
        for (int i = 0; i < 20; i++) {
            dispatcher.place(plainCall(1_000), 0);
        }
        DispatchAnswer.Refused refused =
                assertInstanceOf(DispatchAnswer.Refused.class, dispatcher.place(plainCall(1_000), 0));
        assertEquals(DispatchAnswer.RefusalCause.TOO_LATE, refused.why());
        assertTrue(refused.retryAfterMillis() >= 100);
    }

    /**
     * Guards against a fault of half the servers that doubles the load on the rest, as each call would be sent twice
     * without a bound.
     */
    @Test
    void boundsRetries() {
        Dispatcher dispatcher = dispatcher(PLAIN, 3, 100);
        for (int i = 0; i < 10; i++) {
            granted(dispatcher.place(plainCall(1_000), 0));
        }
        int granted = 0;
        for (int i = 0; i < 10; i++) {
            DispatchCall retried = call(0, 0, 100, 0, 1_000, true);
            granted += dispatcher.place(retried, 0) instanceof DispatchAnswer.Granted ? 1 : 0;
        }
        assertEquals(4, granted, "a fifth of ten calls, and the slack of two");
    }

    @Test
    void backsOffFromUnreachableServerAndTriesItAgain() {
        Dispatcher dispatcher = dispatcher(PLAIN, 3, 10);
        DispatchAnswer.Granted grant = granted(dispatcher.place(plainCall(1_000), 0));
        dispatcher.report(new AttemptReport(grant.attempt(), AttemptEnd.NOT_SENT), 0);
        for (int i = 0; i < 9; i++) {
            assertNotEquals(
                    grant.server(),
                    granted(dispatcher.place(plainCall(1_000), MILLI)).server());
        }
        boolean back = false;
        for (int i = 0; i < 9; i++) {
            back |= granted(dispatcher.place(plainCall(1_000), 1_100 * MILLI))
                    .server()
                    .equals(grant.server());
        }
        assertTrue(back, "server is tried again after its backoff");
    }

    /**
     * Guards against a new dispatcher that refuses all calls after a restart of the whole system, as it has not
     * received any server's heartbeat yet.
     */
    @Test
    void queuesCallsUntilFirstServersAreKnown() {
        Dispatcher dispatcher = new Dispatcher(PLAIN, RETRIES, 0);
        DispatchCall first = plainCall(2_000);
        assertInstanceOf(DispatchAnswer.Queued.class, dispatcher.place(first, 0));
        dispatcher.updateServers(PLAIN, TestServers.servers(1, 2), 900 * MILLI);
        assertEquals(
                first.attempt(), granted(dispatcher.tick(900 * MILLI).get(0)).attempt());
        dispatcher.updateServers(PLAIN, List.of(), 1_000 * MILLI);
        assertInstanceOf(DispatchAnswer.Refused.class, dispatcher.place(plainCall(2_000), 1_000 * MILLI));
    }

    @Test
    void freesSlotsOfRemovedEntryAndOfUnreportedCall() {
        Dispatcher dispatcher = dispatcher(PLAIN, 1, 2);
        granted(dispatcher.place(plainCall(1_000), 0));
        granted(dispatcher.place(plainCall(1_000), 0));
        dispatcher.removeEntry(HostId.of("e"), 2, 0);
        assertEquals(2, dispatcher.running(), "other incarnation of the entry");
        dispatcher.removeEntry(HostId.of("e"), 1, 0);
        assertEquals(0, dispatcher.running());
        granted(dispatcher.place(plainCall(1_000), 0));
        dispatcher.tick(2_900 * MILLI);
        assertEquals(1, dispatcher.running());
        dispatcher.tick(3_100 * MILLI);
        assertEquals(0, dispatcher.running());
    }

    /** A dispatcher that takes over counts the running calls; otherwise it would grant their slots a second time. */
    @Test
    void adoptedGrantsOccupySlots() {
        Dispatcher old = dispatcher(PLAIN, 1, 1);
        DispatchCall running = plainCall(5_000);
        DispatchAnswer.Granted grant = granted(old.place(running, 0));
        Dispatcher successor = dispatcher(PLAIN, 1, 1);
        successor.adopt(new OpenGrant(running, grant, false), 0);
        DispatchCall waitingCall = plainCall(5_000);
        assertInstanceOf(DispatchAnswer.Queued.class, successor.place(waitingCall, 0));
        successor.report(new AttemptReport(running.attempt(), AttemptEnd.DONE), MILLI);
        assertEquals(1, successor.tick(MILLI).size());
    }

    /** In any order of calls and ends, no server has more calls than slots, and each call gets one decision. */
    @Property(tries = 60, seed = "11")
    void neverGrantsMoreCallsThanSlots(@ForAll long seed) {
        Random random = new Random(seed);
        boolean engines = random.nextBoolean();
        Dispatcher dispatcher = dispatcher(engines ? ENGINES : PLAIN, 4, 3);
        Map<String, BackendServerId> running = new HashMap<>();
        int decided = 0;
        int refused = 0;
        for (int step = 0; step < 300; step++) {
            long now = step * 7L * MILLI;
            List<DispatchAnswer> answers = new ArrayList<>(dispatcher.tick(now));
            if (random.nextInt(3) > 0) {
                DispatchCall call =
                        engines ? (random.nextInt(4) == 0 ? longCall(150_000) : shortCall()) : plainCall(1_000);
                answers.add(dispatcher.place(call, now));
            }
            for (DispatchAnswer each : answers) {
                if (each instanceof DispatchAnswer.Granted grant) {
                    assertEquals(null, running.put(grant.attempt(), grant.server()), "one decision per call");
                    decided++;
                } else if (each instanceof DispatchAnswer.Refused) {
                    refused++;
                }
            }
            if (!running.isEmpty() && random.nextInt(2) == 0) {
                String ends = List.copyOf(running.keySet()).get(random.nextInt(running.size()));
                AttemptEnd[] all = AttemptEnd.values();
                dispatcher.report(new AttemptReport(ends, all[random.nextInt(all.length)]), now);
                running.remove(ends);
            }
            Map<BackendServerId, Integer> counts = new HashMap<>();
            running.values().forEach(each -> counts.merge(each, 1, Integer::sum));
            int slots = engines ? Math.min(3, TIMING.slots()) : 3;
            counts.values().forEach(each -> assertTrue(each <= slots));
            assertEquals(running.size(), dispatcher.running());
        }
        assertEquals(nextAttempt, decided + refused + dispatcher.waiting());
        nextAttempt = 0;
    }

    /**
     * Guards against short answers that pause while a long prompt is prefilled: an entry that lost a packet calls the
     * secondary dispatcher, which has no records of the primary's short calls and places the prompt on all their
     * engines. So a long call waits there until the primary would have been found to be gone; short calls don't.
     */
    @Test
    void secondaryHoldsLongCallsForOneSecond() {
        Dispatcher dispatcher = dispatcher(ENGINES, 6, 11);
        dispatcher.updatePrimary(false, 0);
        granted(dispatcher.place(shortCall(), 0));
        assertInstanceOf(DispatchAnswer.Queued.class, dispatcher.place(longCall(210_000), 0));
        assertEquals(List.of(), dispatcher.tick(999 * MILLI));
        assertEquals(1, dispatcher.tick(1_000 * MILLI).size());
    }

    /**
     * Guards against thirty short calls that are late at once: a prompt of 450 thousand tokens waits at the primary,
     * which is being stopped and receives cancellations of its running calls from all entries. It would then consider
     * all engines free and place the prompt on them. So it holds the prompt for as long as the prompt's entry needs to
     * request placement from the next dispatcher.
     */
    @Test
    void holdsWaitingLongCallAfterBecomingSecondary() {
        Dispatcher dispatcher = dispatcher(ENGINES, 2, 2);
        List<String> running = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            running.add(granted(dispatcher.place(shortCall(), 0)).attempt());
        }
        assertInstanceOf(DispatchAnswer.Queued.class, dispatcher.place(longCall(210_000), 0));
        dispatcher.updatePrimary(false, 900 * MILLI);
        running.forEach(each -> dispatcher.report(new AttemptReport(each, AttemptEnd.CANCELLED), 950 * MILLI));
        assertEquals(List.of(), dispatcher.tick(1_100 * MILLI));
        assertEquals(List.of(), dispatcher.tick(1_899 * MILLI));
        assertEquals(1, dispatcher.tick(1_900 * MILLI).size());
    }

    /** When the primary is gone and the secondary takes over, the calls that it held are placed at once. */
    @Test
    void placesHeldLongCallAfterBecomingPrimary() {
        Dispatcher dispatcher = dispatcher(ENGINES, 6, 11);
        dispatcher.updatePrimary(false, 0);
        assertInstanceOf(DispatchAnswer.Queued.class, dispatcher.place(longCall(210_000), 0));
        dispatcher.updatePrimary(true, 5 * MILLI);
        assertEquals(1, dispatcher.tick(10 * MILLI).size());
    }

    /**
     * Guards against short calls that wait six seconds for a first token, after which their callers disconnect: of two
     * engines one prefills a long prompt, the other is reserved for a second long prompt that waits. A reserved engine
     * that answers in time is preferred to a late one.
     */
    @Test
    void prefersReservedEngineToOneWithLongPrefill() {
        Dispatcher dispatcher = dispatcher(ENGINES, 2, 11);
        DispatchAnswer.Granted first = granted(dispatcher.place(shortCall(), 0));
        dispatcher.report(new AttemptReport(first.attempt(), null), 0);
        DispatchAnswer.Granted longGrant = granted(dispatcher.place(call(300_000, 800, 1_000, 800, 15_000, false), 0));
        assertNotEquals(first.server(), longGrant.server());
        assertInstanceOf(
                DispatchAnswer.Queued.class, dispatcher.place(call(300_000, 800, 1_000, 800, 15_000, false), MILLI));
        DispatchAnswer.Granted second = granted(dispatcher.place(shortCall(), 2 * MILLI));
        assertEquals(first.server(), second.server());
        assertTrue(second.firstMillis() <= 300, "first token in " + second.firstMillis());
    }

    /**
     * A first token after the caller has disconnected is of no use: the call waits for a better placement, or is
     * refused in time.
     */
    @Test
    void queuesCallWhoseFirstTokenWouldBeTooLate() {
        Dispatcher dispatcher = dispatcher(ENGINES, 1, 11);
        DispatchCall tooLong = new DispatchCall(
                "long",
                HostId.of("e"),
                1,
                FailureDomain.of("a"),
                SERVICE,
                Shard.WHOLE,
                1,
                400_000,
                800,
                800,
                3_000,
                800,
                7_000,
                20_000,
                false,
                List.of());
        assertInstanceOf(DispatchAnswer.Queued.class, dispatcher.place(tooLong, 0));
    }

    /**
     * Guards against new short calls that wait although engines are free: the dispatcher's process was suspended for
     * seconds, calls ended meanwhile, and their entry's reports were lost. When it resumes, it receives the list of the
     * entry's running calls and removes the other grants.
     */
    @Test
    void reconcileRemovesGrantsThatEntryNoLongerRuns() {
        Dispatcher dispatcher = dispatcher(ENGINES, 1, 11);
        List<DispatchCall> calls = new ArrayList<>();
        List<DispatchAnswer.Granted> grants = new ArrayList<>();
        for (int i = 0; i < 11; i++) {
            calls.add(shortCall());
            grants.add(granted(dispatcher.place(calls.get(i), 0)));
        }
        assertInstanceOf(DispatchAnswer.Queued.class, dispatcher.place(shortCall(), MILLI));
        OpenGrant still = new OpenGrant(calls.get(0), grants.get(0), true);
        dispatcher.reconcileGrants(HostId.of("e"), 1, List.of(still), 4_000 * MILLI);
        assertEquals(1, dispatcher.running());
        granted(dispatcher.place(shortCall(), 4_001 * MILLI));
    }

    /**
     * Guards against engines that reject calls beyond their slots: after a power failure of the whole system, callers
     * whose first attempts were cut off retry at 13 entries at once. No entry has received the others' membership yet,
     * so each places its six short calls by itself; packed, all would be placed on the same engine.
     */
    @Test
    void uncoordinatedDispatchersSpreadShortCalls() {
        int slots = 11;
        Map<BackendServerId, Integer> running = new HashMap<>();
        for (int entry = 0; entry < 13; entry++) {
            Dispatcher dispatcher = dispatcher(ENGINES, 21, slots);
            dispatcher.updatePrimary(false, 0);
            for (int i = 0; i < 6; i++) {
                running.merge(granted(dispatcher.place(shortCall(), 0)).server(), 1, Integer::sum);
            }
        }
        int rejected = 0;
        for (int each : running.values()) {
            rejected += Math.max(0, each - slots);
        }
        assertTrue(rejected <= 1, rejected + " of 78 short calls rejected");
        assertTrue(running.size() >= 18, "engines used: " + running.size());
    }

    /**
     * Guards against a host that processes no messages for a second, because in a burst each new call had all waiting
     * calls examined. Waiting calls are left to the next tick; a new call that is not first waits with them.
     */
    @Test
    void newCallDoesNotPlaceWaitingCalls() {
        Dispatcher dispatcher = dispatcher(PLAIN, 1, 1);
        DispatchAnswer.Granted running = granted(dispatcher.place(plainCall(60_000), 0));
        DispatchCall first = plainCall(60_000);
        dispatcher.place(first, 0);
        for (int i = 0; i < 300; i++) {
            dispatcher.place(plainCall(60_000), 0);
        }
        dispatcher.report(new AttemptReport(running.attempt(), AttemptEnd.DONE), MILLI);
        assertInstanceOf(DispatchAnswer.Queued.class, dispatcher.place(plainCall(60_000), MILLI));
        List<DispatchAnswer> decided = dispatcher.tick(MILLI);
        assertEquals(
                List.of(first.attempt()),
                decided.stream().map(DispatchAnswer::attempt).toList());
    }
}
