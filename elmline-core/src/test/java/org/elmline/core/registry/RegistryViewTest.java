package org.elmline.core.registry;

import java.util.List;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.ServiceName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests an entry's view when control hosts disagree, restart or stop answering. */
class RegistryViewTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Address A = Address.parse("10.0.0.1:7000");
    private static final Address B = Address.parse("10.0.0.2:7000");

    private final RegistryView view = new RegistryView(2 * SECOND, 4 * SECOND, SECOND);

    private static Registration server(ServerState state, long sequence) {
        return new Registration(
                BackendServerId.of("s"),
                ServiceName.of("desk"),
                Address.parse("10.0.1.1:80"),
                FailureDomain.of("a"),
                11,
                state,
                100,
                sequence);
    }

    private static FollowAnswer answer(long epoch, boolean silent, ServerState state) {
        return new FollowAnswer(
                epoch,
                9_000,
                List.of(new ServerUpdate(server(state, 1), silent, false)),
                1,
                null,
                List.of(),
                List.of(),
                0,
                List.of(),
                1,
                null,
                null,
                0,
                null);
    }

    private static FollowAnswer emptyAnswer(long epoch) {
        return new FollowAnswer(
                epoch, 9_000, List.of(), 0, null, List.of(), List.of(), 0, List.of(), 1, null, null, 0, null);
    }

    /**
     * Guards against the rejection of all calls: a partitioned control host receives no heartbeats and reports every
     * server as expired.
     */
    @Test
    void serverIsUsableWhenOneControlHostReceivesHeartbeats() {
        view.apply(A, answer(1, false, ServerState.READY), 0);
        view.apply(B, answer(1, true, ServerState.READY), 0);
        assertEquals(1, view.usable(0).size());
        view.apply(A, answer(1, true, ServerState.READY), SECOND);
        assertEquals(0, view.usable(SECOND).size());
    }

    /**
     * Guards against control hosts that count as unreachable between two polls: a follower of many control hosts polls
     * each of them less often.
     */
    @Test
    void controlHostThatIsPolledLessOftenStaysCurrent() {
        view.updateAnswerValidity(3 * SECOND);
        view.apply(A, answer(1, false, ServerState.READY), 0);
        assertEquals(1, view.answeringControlHosts(3 * SECOND - 1));
        assertEquals(0, view.answeringControlHosts(3 * SECOND));
    }

    /**
     * Guards against the rejection of all calls for a heartbeat interval: all control hosts are killed at once and
     * restart with empty registries, while the servers and this entry keep running.
     */
    @Test
    void restartedControlHostsExpireNoServerBeforeWarmUpEnds() {
        view.apply(A, answer(1, false, ServerState.READY), 0);
        view.apply(A, emptyAnswer(2), SECOND);
        assertEquals(1, view.usable(SECOND).size());
        view.apply(A, emptyAnswer(2), 4 * SECOND);
        view.apply(A, emptyAnswer(2), 5 * SECOND);
        assertEquals(0, view.usable(5 * SECOND).size(), "no heartbeat arrived within the warm-up time");
    }

    @Test
    void drainReportedByAnyControlHostApplies() {
        view.apply(A, answer(1, false, ServerState.DRAINING), 0);
        view.apply(B, answer(1, false, ServerState.READY), 0);
        assertEquals(0, view.usable(0).size());
    }

    /** Without any answering control host, an entry keeps using the last known servers. */
    @Test
    void lastKnownServersStayUsableWhileNoControlHostAnswers() {
        view.apply(A, answer(1, false, ServerState.READY), 0);
        assertEquals(1, view.usable(60 * SECOND).size());
        assertEquals(0, view.answeringControlHosts(60 * SECOND));
    }

    private static FollowAnswer answerWithRestoredServer(long epoch) {
        ServerUpdate update = new ServerUpdate(server(ServerState.READY, 1), false, true);
        return new FollowAnswer(
                epoch, 9_000, List.of(update), 1, null, List.of(), List.of(), 0, List.of(), 1, null, null, 0, null);
    }

    /**
     * Guards against calls to a server that died while one control host was down: that control host has restored the
     * server, the other one reports it as expired. A restored server counts as alive only when no control host reports
     * it expired.
     */
    @Test
    void restoredServerIsUsableUntilAControlHostReportsItExpired() {
        view.apply(A, answerWithRestoredServer(1), 0);
        assertEquals(1, view.usable(0).size());
        view.apply(B, emptyAnswer(1), 0);
        assertEquals(1, view.usable(0).size());
        view.apply(B, answer(1, true, ServerState.READY), 0);
        assertEquals(0, view.usable(0).size());
        view.apply(A, answer(1, false, ServerState.READY), 0);
        assertEquals(1, view.usable(0).size(), "its heartbeat was received");
    }

    /**
     * Guards against entries that each act as the dispatcher of all calls: control hosts and entries restart at once,
     * and the first answers list only the few entries that have polled by then.
     */
    @Test
    void entryListIsCompleteAfterWarmUpOfOneControlHost() {
        assertTrue(view.isEntryListComplete(0), "no entry is known and no control host answers");
        view.apply(A, answerAfterUptime(300), 0);
        assertFalse(view.isEntryListComplete(0));
        assertTrue(view.isEntryListComplete(7 * SECOND / 10), "all entries have polled it by then");
        view.apply(B, answerAfterUptime(1_000), 0);
        assertTrue(view.isEntryListComplete(0));
    }

    private static FollowAnswer answerAfterUptime(long millis) {
        return new FollowAnswer(
                1, millis, List.of(), 0, null, List.of(), List.of(), 0, List.of(), 1, null, null, 0, null);
    }

    private static FollowAnswer unconfirmedAnswer(long millis) {
        return new FollowAnswer(
                1, 9_000, List.of(), 0, null, List.of(), List.of(), 0, List.of(), 1, null, null, millis, null);
    }

    /**
     * Guards against calls routed by an outdated table: all control hosts restart with tables they have restored, and
     * their election takes long.
     */
    @Test
    void tableIsUnconfirmedWhenRunningHostsHaveHadNoLeaderForLong() {
        view.apply(A, unconfirmedAnswer(900), 0);
        view.apply(B, unconfirmedAnswer(400), 0);
        assertFalse(view.isConfirmed(0));
        assertFalse(view.isUnconfirmedFor(2 * SECOND, 3, SECOND));
        assertTrue(view.isUnconfirmedFor(2 * SECOND, 3, 2 * SECOND - 400_000_000L));
        view.apply(B, unconfirmedAnswer(0), SECOND);
        assertTrue(view.isConfirmed(SECOND));
        assertFalse(view.isUnconfirmedFor(2 * SECOND, 3, 2 * SECOND - 400_000_000L));
    }

    /** An entry that is cut off, alone or with a minority of the control hosts, keeps serving by the table it has. */
    @Test
    void tableStaysInUseWhileNoMajorityAnswers() {
        view.apply(A, unconfirmedAnswer(9_000), 0);
        assertFalse(view.isUnconfirmedFor(2 * SECOND, 3, SECOND));
        assertTrue(view.isUnconfirmedFor(2 * SECOND, 1, SECOND));
        view.apply(A, unconfirmedAnswer(0), 0);
        assertFalse(view.isUnconfirmedFor(2 * SECOND, 1, 2 * SECOND - 1));
        assertFalse(view.isUnconfirmedFor(2 * SECOND, 1, 9 * SECOND));
    }

    @Test
    void laterStartIsKnownByIdOrAddress() {
        view.apply(A, answer(1, false, ServerState.READY), 0);
        Address address = server(ServerState.READY, 1).address();
        assertFalse(view.hasLaterStart(BackendServerId.of("s"), 100, address));
        assertTrue(view.hasLaterStart(BackendServerId.of("s"), 99, A));
        assertTrue(view.hasLaterStart(BackendServerId.of("other"), 99, address));
        assertFalse(view.hasLaterStart(BackendServerId.of("other"), 99, A));
    }

    /** Guards against a planned end that is taken for one because of a request. */
    @Test
    void serverThatLeavesHasNotExpired() {
        view.apply(A, answer(1, true, ServerState.DRAINING), 0);
        assertTrue(view.hasLeft(BackendServerId.of("s"), 100));
        assertFalse(view.hasLeft(BackendServerId.of("s"), 99));
        assertFalse(view.isExpired(BackendServerId.of("s"), 0));
    }

    @Test
    void serverHasExpiredWhenNoControlHostReceivesItsHeartbeats() {
        view.apply(A, answer(1, true, ServerState.READY), 0);
        assertTrue(view.isExpired(BackendServerId.of("s"), 0));
        view.apply(B, answer(1, false, ServerState.READY), 0);
        assertFalse(view.isExpired(BackendServerId.of("s"), 0));
    }

    /** Guards against an entry that serves by an outdated table, as the time without a leader overflows. */
    @Test
    void timesOutOfRangeCountAsLong() {
        for (long millis : new long[] {Long.MAX_VALUE, Long.MAX_VALUE / 1_000, Long.MAX_VALUE / 1_000_000 + 1}) {
            view.apply(A, unconfirmedAnswer(millis), SECOND);
            assertTrue(view.isUnconfirmedFor(2 * SECOND, 1, SECOND), () -> "" + millis);
        }
    }
}
