package org.elmline.core.dispatch;

import java.util.List;

import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.ServiceName;
import org.elmline.core.routing.RoutedService;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

/** Where calls go whose entries may not send to some servers. */
class DispatcherRestrictionTest {
    private static final long MILLI = 1_000_000L;
    private static final ServiceName SERVICE = TestServers.SERVICE;
    private static final RoutedService PLAIN = new RoutedService(SERVICE, 248, null);
    private static final RetryLimit RETRIES = new RetryLimit(0.2, 2, 10_000 * MILLI);

    private int nextAttempt;

    private static Dispatcher dispatcher(int servers, int slots) {
        Dispatcher dispatcher = new Dispatcher(PLAIN, RETRIES, 0);
        dispatcher.updateServers(PLAIN, TestServers.servers(servers, slots), 0);
        return dispatcher;
    }

    private DispatchCall call() {
        return call(false);
    }

    private DispatchCall call(boolean repeated) {
        return new DispatchCall(
                "c" + nextAttempt++,
                HostId.of("e"),
                1,
                FailureDomain.of("a"),
                SERVICE,
                Shard.WHOLE,
                1,
                0,
                0,
                0,
                100,
                0,
                1_000,
                1_000,
                repeated,
                List.of());
    }

    private static DispatchAnswer.Granted granted(DispatchAnswer answer) {
        return assertInstanceOf(DispatchAnswer.Granted.class, answer);
    }

    /** Guards against calls of other entries to a server that stated to one entry that it leaves. */
    @Test
    void placesNothingOnServerThatStatedThatItLeaves() {
        Dispatcher dispatcher = dispatcher(2, 4);
        DispatchCall first = call();
        DispatchAnswer.Granted left = granted(dispatcher.place(first, 0));
        ServerNotice leaving = new ServerNotice(ServerRateLimit.NONE, true, 0);
        dispatcher.report(AttemptReport.of(first.attempt(), AttemptEnd.DONE, leaving), MILLI);
        dispatcher.updateServers(PLAIN, TestServers.servers(2, 4), 2 * MILLI);
        for (int i = 0; i < 4; i++) {
            assertNotEquals(
                    left.server(), granted(dispatcher.place(call(), 3 * MILLI)).server());
        }
        assertInstanceOf(DispatchAnswer.Queued.class, dispatcher.place(call(), 3 * MILLI));
    }

    /** Guards against a waiting call that is granted a server which has meanwhile requested a backoff from its entry. */
    @Test
    void waitingCallAvoidsServersOfItsRepeatedRequest() {
        Dispatcher dispatcher = dispatcher(2, 1);
        DispatchCall onFirst = call();
        DispatchAnswer.Granted first = granted(dispatcher.place(onFirst, 0));
        DispatchAnswer.Granted second = granted(dispatcher.place(call(), 0));
        DispatchCall waiting = call();
        assertInstanceOf(DispatchAnswer.Queued.class, dispatcher.place(waiting, 0));
        DispatchCall repeated = waiting.alsoAvoiding(List.of(first.server()));
        assertInstanceOf(DispatchAnswer.Queued.class, dispatcher.place(repeated, MILLI));
        dispatcher.report(new AttemptReport(onFirst.attempt(), AttemptEnd.DONE), 2 * MILLI);
        assertEquals(List.of(), dispatcher.tick(3 * MILLI));
        dispatcher.report(new AttemptReport(second.attempt(), AttemptEnd.DONE), 4 * MILLI);
        assertEquals(second.server(), granted(dispatcher.tick(5 * MILLI).get(0)).server());
    }

    /** Guards against a call that waits for its deadline although no server may take it. */
    @Test
    void refusesAtOnceWaitingCallThatNoServerMayTake() {
        Dispatcher dispatcher = dispatcher(1, 1);
        DispatchAnswer.Granted only = granted(dispatcher.place(call(), 0));
        DispatchCall waiting = call();
        dispatcher.place(waiting, 0);
        dispatcher.place(waiting.alsoAvoiding(List.of(only.server())), MILLI);
        DispatchAnswer.Refused refused = assertInstanceOf(
                DispatchAnswer.Refused.class, dispatcher.tick(2 * MILLI).get(0));
        assertEquals(DispatchAnswer.RefusalCause.NO_SERVER, refused.why());
    }

    /** Guards against a retry budget that is used up by retries that waited in vain and were never sent. */
    @Test
    void retryThatWasNeverSentLeavesTheBudgetAsItWas() {
        Dispatcher dispatcher = dispatcher(2, 1);
        DispatchAnswer.Granted first = granted(dispatcher.place(call(), 0));
        granted(dispatcher.place(call(), 0));
        for (int i = 0; i < 5; i++) {
            DispatchCall retry = call(true);
            assertInstanceOf(DispatchAnswer.Queued.class, dispatcher.place(retry, MILLI));
            dispatcher.report(new AttemptReport(retry.attempt(), AttemptEnd.CANCELLED), 2 * MILLI);
        }
        dispatcher.report(new AttemptReport(first.attempt(), AttemptEnd.DONE), 3 * MILLI);
        for (int i = 0; i < 5; i++) {
            DispatchCall retry = call(true);
            granted(dispatcher.place(retry, 4 * MILLI));
            dispatcher.report(new AttemptReport(retry.attempt(), AttemptEnd.NOT_SENT_HERE), 4 * MILLI);
        }
    }

    /** Guards against retries beyond the budget: a grant of another dispatcher was never counted here. */
    @Test
    void adoptedGrantThatWasNeverSentGivesNothingBack() {
        Dispatcher dispatcher = dispatcher(2, 4);
        granted(dispatcher.place(call(true), 0));
        DispatchAnswer.Granted last = granted(dispatcher.place(call(true), 0));
        DispatchCall adopted = call(true);
        DispatchAnswer.Granted elsewhere =
                new DispatchAnswer.Granted(adopted.attempt(), last.server(), last.address(), List.of(), 50, 100, 0, 0);
        dispatcher.adopt(new OpenGrant(adopted, elsewhere, false), MILLI);
        dispatcher.report(new AttemptReport(adopted.attempt(), AttemptEnd.NOT_SENT_HERE), 2 * MILLI);
        DispatchAnswer.Refused refused =
                assertInstanceOf(DispatchAnswer.Refused.class, dispatcher.place(call(true), 3 * MILLI));
        assertEquals(DispatchAnswer.RefusalCause.RETRY_BUDGET, refused.why());
    }
}
