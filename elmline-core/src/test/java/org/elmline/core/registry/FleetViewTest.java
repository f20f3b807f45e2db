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

/** What an entry makes of control hosts that disagree, restart or fall silent. */
class FleetViewTest {
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
                null);
    }

    private static FollowAnswer nothing(long epoch) {
        return new FollowAnswer(epoch, 9_000, List.of(), 0, null, List.of(), List.of(), 0, List.of(), 1, null, null);
    }

    /** All calls would be refused: a control host that is cut off hears nobody and takes every server for silent. */
    @Test
    void oneHostThatHearsAServerIsEnough() {
        view.apply(A, answer(1, false, ServerState.READY), 0);
        view.apply(B, answer(1, true, ServerState.READY), 0);
        assertEquals(1, view.usable(0).size());
        view.apply(A, answer(1, true, ServerState.READY), SECOND);
        assertEquals(0, view.usable(SECOND).size());
    }

    /** Guards against control hosts that count as gone between two polls, as a follower of many polls each less often. */
    @Test
    void aHostThatIsPolledLessOftenStaysCurrent() {
        view.updateAnswerValidity(3 * SECOND);
        view.apply(A, answer(1, false, ServerState.READY), 0);
        assertEquals(1, view.answeringControlHosts(3 * SECOND - 1));
        assertEquals(0, view.answeringControlHosts(3 * SECOND));
    }

    /**
     * All calls would be refused for a heartbeat's time: all control hosts are killed at once and come back with empty
     * registries, while the servers and this entry never stopped.
     */
    @Test
    void restartedControlHostsSilenceNobodyBeforeTheyCouldHear() {
        view.apply(A, answer(1, false, ServerState.READY), 0);
        view.apply(A, nothing(2), SECOND);
        assertEquals(1, view.usable(SECOND).size());
        view.apply(A, nothing(2), 4 * SECOND);
        view.apply(A, nothing(2), 5 * SECOND);
        assertEquals(0, view.usable(5 * SECOND).size(), "it was not heard again in time");
    }

    @Test
    void aDrainToldByAnyHostHolds() {
        view.apply(A, answer(1, false, ServerState.DRAINING), 0);
        view.apply(B, answer(1, false, ServerState.READY), 0);
        assertEquals(0, view.usable(0).size());
    }

    /** With no control host left an entry goes on with the servers it knew. */
    @Test
    void whatWasKnownStaysWhileNobodyAnswers() {
        view.apply(A, answer(1, false, ServerState.READY), 0);
        assertEquals(1, view.usable(60 * SECOND).size());
        assertEquals(0, view.answeringControlHosts(60 * SECOND));
    }

    private static FollowAnswer remembering(long epoch) {
        ServerUpdate news = new ServerUpdate(server(ServerState.READY, 1), false, true);
        return new FollowAnswer(
                epoch, 9_000, List.of(news), 1, null, List.of(), List.of(), 0, List.of(), 1, null, null);
    }

    /**
     * Calls would go to a server that has died while one control host was down: that one still remembers it, the other
     * has found it silent. Only where nobody has missed it does the memory count.
     */
    @Test
    void aRememberedServerCountsWhereNobodyHasMissedIt() {
        view.apply(A, remembering(1), 0);
        assertEquals(1, view.usable(0).size());
        view.apply(B, nothing(1), 0);
        assertEquals(1, view.usable(0).size());
        view.apply(B, answer(1, true, ServerState.READY), 0);
        assertEquals(0, view.usable(0).size());
        view.apply(A, answer(1, false, ServerState.READY), 0);
        assertEquals(1, view.usable(0).size(), "it was heard");
    }

    /**
     * Each entry would take itself for the one that places all calls: control hosts and entries come back at once, and
     * the first answers tell of the few entries that were heard by then.
     */
    @Test
    void entriesAreAllKnownOnceAControlHostHasBeenUpForAWhile() {
        assertTrue(view.isEntryListComplete(0), "nothing was ever known, and nobody tells");
        view.apply(A, up(300), 0);
        assertFalse(view.isEntryListComplete(0));
        assertTrue(view.isEntryListComplete(7 * SECOND / 10), "it has heard all by then");
        view.apply(B, up(1_000), 0);
        assertTrue(view.isEntryListComplete(0));
    }

    private static FollowAnswer up(long millis) {
        return new FollowAnswer(1, millis, List.of(), 0, null, List.of(), List.of(), 0, List.of(), 1, null, null);
    }
}
