package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.elmline.core.admission.AdmissionMode;
import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.ServiceName;
import org.elmline.core.registry.Registration;
import org.elmline.core.registry.ServerState;
import org.elmline.core.routing.BatchTiming;
import org.elmline.core.routing.RoutedService;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What rate-limited servers are sent, and how calls are answered meanwhile. */
class DispatcherRateLimitTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final ServiceName SERVICE = ServiceName.of("desk");
    private static final RoutedService PLAIN = new RoutedService(SERVICE, 248, null);
    private static final RoutedService ENGINES = new RoutedService(
            SERVICE, 819, new BatchTiming(11, 450_000, 46, 0.925, 0.007, 0.00254, 256, 0.0917, 2048, 0.1));
    private static final RetryLimit RETRIES = new RetryLimit(0.2, 2, 10 * SECOND);

    private final ServerRateLimits limits = new ServerRateLimits();
    private int nextAttempt;

    private Dispatcher dispatcher(RoutedService service, int servers) {
        List<Registration> registrations = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            registrations.add(new Registration(
                    server(i),
                    SERVICE,
                    new Address("10.0.0." + (i + 1), 80),
                    FailureDomain.of("a"),
                    11,
                    ServerState.READY,
                    1,
                    1));
        }
        Dispatcher dispatcher = new Dispatcher(service, RETRIES, limits, AdmissionMode.SLOTS, 0);
        dispatcher.updateServers(service, registrations, 0);
        return dispatcher;
    }

    private static BackendServerId server(int number) {
        return BackendServerId.of("s" + number);
    }

    private DispatchCall call(long promptTokens, long aimMillis, long deadlineMillis) {
        nextAttempt++;
        return new DispatchCall(
                "c" + nextAttempt,
                HostId.of("e" + nextAttempt % 18),
                1,
                FailureDomain.of("a"),
                SERVICE,
                Shard.WHOLE,
                1,
                promptTokens,
                promptTokens > 0 ? 800 : 0,
                promptTokens > 0 ? 800 : 0,
                aimMillis,
                promptTokens > 0 ? 500 : 0,
                deadlineMillis,
                deadlineMillis,
                false,
                List.of());
    }

    /**
     * Guards against an overloaded server that gets as many calls as the others, because each of many entries sends it
     * a few.
     */
    @Test
    void allEntriesTogetherKeepToLimitWithoutQueueing() {
        Dispatcher dispatcher = dispatcher(PLAIN, 3);
        limits.update(server(0), ServerRateLimit.ofPerSecond(1.5), 0);
        List<Long> sent = new ArrayList<>();
        for (long now = 0; now < 20 * SECOND; now += 10 * MILLI) {
            DispatchCall call = call(0, 100, 1_000);
            DispatchAnswer.Granted granted =
                    assertInstanceOf(DispatchAnswer.Granted.class, dispatcher.place(call, now));
            if (granted.server().equals(server(0))) {
                sent.add(now);
            }
            dispatcher.report(new AttemptReport(call.attempt(), AttemptEnd.DONE), now + 5 * MILLI);
        }
        assertTrue(maxCountWithinFourSeconds(sent) <= 1.5 * 4 + 1, "sent at " + sent);
        assertTrue(sent.size() >= 25, "requests sent to the limited server: " + sent.size());
    }

    private static long maxCountWithinFourSeconds(List<Long> sent) {
        long max = 0;
        for (long end : sent) {
            max = Math.max(
                    max,
                    sent.stream()
                            .filter(each -> each <= end && each > end - 4 * SECOND)
                            .count());
        }
        return max;
    }

    /** Guards against calls that wait until their deadline at servers that all accept less than is sent to them. */
    @Test
    void servesOrRefusesAtOnceWhenAllServersAreLimited() {
        Dispatcher dispatcher = dispatcher(PLAIN, 2);
        limits.update(server(0), ServerRateLimit.ofPerSecond(2), 0);
        limits.update(server(1), ServerRateLimit.ofPerSecond(2), 0);
        int served = 0;
        int refused = 0;
        int timedOut = 0;
        Map<String, Long> placedAt = new HashMap<>();
        for (long now = 0; now < 20 * SECOND; now += 10 * MILLI) {
            for (DispatchAnswer each : dispatcher.tick(now)) {
                served += each instanceof DispatchAnswer.Granted ? 1 : 0;
                boolean over = now - placedAt.get(each.attempt()) >= 900 * MILLI;
                timedOut += each instanceof DispatchAnswer.Refused && over ? 1 : 0;
                refused += each instanceof DispatchAnswer.Refused ? 1 : 0;
                dispatcher.report(new AttemptReport(each.attempt(), AttemptEnd.DONE), now);
            }
            if (now % (100 * MILLI) == 0) {
                DispatchCall call = call(0, 100, 1_000);
                placedAt.put(call.attempt(), now);
                refused += dispatcher.place(call, now) instanceof DispatchAnswer.Refused ? 1 : 0;
            }
        }
        assertEquals(80, served, 3);
        assertTrue(refused >= 110, refused + " of 200 were refused");
        assertTrue(timedOut <= 4, timedOut + " waited until their deadline");
    }

    /**
     * Guards against a rate-limited server whose memory is reserved, with requests to renew the reservation, for
     * prompts of other servers.
     */
    @Test
    void placesLongCallsOnUnlimitedServers() {
        Dispatcher dispatcher = dispatcher(ENGINES, 4);
        limits.update(server(1), ServerRateLimit.ofPerSecond(100), 0);
        for (int i = 0; i < 6; i++) {
            long now = i * 2 * SECOND;
            DispatchCall longCall = call(210_000, 3_000, 15_000);
            DispatchAnswer.Granted granted =
                    assertInstanceOf(DispatchAnswer.Granted.class, dispatcher.place(longCall, now));
            assertFalse(granted.server().equals(server(1)));
            assertTrue(
                    granted.helpers().stream().noneMatch(each -> each.server().equals(server(1))));
            dispatcher.report(new AttemptReport(longCall.attempt(), AttemptEnd.DONE), now + SECOND);
        }
    }

    /** Guards against entries that decide independently and each send as much as the limit allows for all of them. */
    @Test
    void secondaryKeepsToItsPartOfLimit() {
        Dispatcher dispatcher = dispatcher(PLAIN, 2);
        dispatcher.updateEntryCount(18);
        dispatcher.updatePrimary(false, 0);
        limits.update(server(0), ServerRateLimit.ofPerSecond(9), 0);
        int sent = 0;
        for (long now = 0; now < 20 * SECOND; now += 50 * MILLI) {
            DispatchCall call = call(0, 100, 1_000);
            DispatchAnswer.Granted granted =
                    assertInstanceOf(DispatchAnswer.Granted.class, dispatcher.place(call, now));
            sent += granted.server().equals(server(0)) ? 1 : 0;
            dispatcher.report(new AttemptReport(call.attempt(), AttemptEnd.DONE), now + 5 * MILLI);
        }
        assertEquals(10, sent, 1);
    }

    /**
     * Guards against a server that gets no calls for many seconds, because the dispatcher that is primary now had been
     * keeping to a part of the limit.
     */
    @Test
    void usesWholeLimitAtOnceAfterBecomingPrimary() {
        Dispatcher dispatcher = dispatcher(PLAIN, 1);
        dispatcher.updateEntryCount(18);
        dispatcher.updatePrimary(false, 0);
        limits.update(server(0), ServerRateLimit.ofPerSecond(1), 0);
        assertInstanceOf(DispatchAnswer.Refused.class, dispatcher.place(call(0, 100, 1_000), 10 * MILLI));
        dispatcher.updatePrimary(true, SECOND);
        assertInstanceOf(DispatchAnswer.Queued.class, dispatcher.place(call(0, 100, 5_000), SECOND));
        assertEquals(1, dispatcher.tick(2_100 * MILLI).size());
    }

    /**
     * Guards against a limit that is in force at the entry that received the answer but not at the dispatcher of the
     * next request.
     */
    @Test
    void reportsSetAndLiftLimit() {
        Dispatcher dispatcher = dispatcher(PLAIN, 1);
        DispatchCall first = call(0, 100, 1_000);
        dispatcher.place(first, 0);
        dispatcher.report(
                new AttemptReport(first.attempt(), AttemptEnd.DONE, ServerRateLimit.ofPerSecond(1), null, false, false),
                0);
        assertInstanceOf(DispatchAnswer.Queued.class, dispatcher.place(call(0, 100, 3_000), 10 * MILLI));
        DispatchAnswer second = dispatcher.tick(1_100 * MILLI).get(0);
        dispatcher.report(
                new AttemptReport(second.attempt(), AttemptEnd.DONE, ServerRateLimit.NONE, null, false, false),
                1_100 * MILLI);
        assertInstanceOf(DispatchAnswer.Granted.class, dispatcher.place(call(0, 100, 1_000), 1_110 * MILLI));
        assertInstanceOf(DispatchAnswer.Granted.class, dispatcher.place(call(0, 100, 1_000), 1_120 * MILLI));
    }

    /** Guards against a request granted by another dispatcher that is not counted against the limit. */
    @Test
    void countsSendsOfOtherDispatchers() {
        Dispatcher dispatcher = dispatcher(PLAIN, 1);
        limits.update(server(0), ServerRateLimit.ofPerSecond(1), 0);
        dispatcher.tick(0);
        dispatcher.recordRemoteSend(server(0), HostId.of("e1"), 900 * MILLI);
        assertInstanceOf(DispatchAnswer.Queued.class, dispatcher.place(call(0, 100, 5_000), 1_100 * MILLI));
        assertTrue(dispatcher.tick(1_900 * MILLI).isEmpty());
        assertEquals(1, dispatcher.tick(2_100 * MILLI).size());
    }
}
