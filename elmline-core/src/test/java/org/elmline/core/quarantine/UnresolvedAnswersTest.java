package org.elmline.core.quarantine;

import java.time.Duration;
import java.util.List;

import org.elmline.core.common.BackendServerId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class UnresolvedAnswersTest {
    private static final ServerStart SERVER = new ServerStart(BackendServerId.of("a"), 5);

    private final UnresolvedAnswers<String> unresolved = new UnresolvedAnswers<>();

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    private List<String> resolve() {
        return unresolved.resolve(SERVER).stream()
                .map(UnresolvedAnswers.Unresolved::answer)
                .toList();
    }

    /** Guards against an end that is attributed to a request that its server survived. */
    @Test
    void serverThatWorksOnLongAfterAnAnswerDidNotEndBecauseOfIt() {
        unresolved.add(SERVER, "early", false, 0);
        unresolved.add(SERVER, "late", false, millis(2_000));
        unresolved.recordLife(SERVER, millis(3_500));
        assertEquals(List.of("late"), resolve());
        assertTrue(unresolved.isEmpty());
    }

    /** Guards against an end that is missed as another answer of the server arrived just before it. */
    @Test
    void serverThatWorksShortlyAfterAnAnswerMayStillEndBecauseOfIt() {
        unresolved.add(SERVER, "given up", false, 0);
        unresolved.recordLife(SERVER, millis(900));
        assertEquals(List.of("given up"), resolve());
    }

    /** Guards against a request that is accused although its server answered it, silent for a while before. */
    @Test
    void answeredRequestIsNoSuspect() {
        unresolved.add(SERVER, "answered", false, 0);
        unresolved.add(SERVER, "given up", false, 0);
        unresolved.removeIf(SERVER, "answered"::equals);
        assertEquals(List.of("given up"), resolve());
        unresolved.add(SERVER, "answered", false, 0);
        unresolved.removeIf(SERVER, "answered"::equals);
        assertTrue(unresolved.isEmpty());
    }

    @Test
    void endOfAnotherStartResolvesNothing() {
        unresolved.add(SERVER, "given up", false, 0);
        assertEquals(List.of(), unresolved.resolve(new ServerStart(SERVER.server(), 6)));
        assertEquals(List.of("given up"), resolve());
    }

    /** Guards against a connection for each answer that a busy server's callers give up. */
    @Test
    void busyServerIsNotChecked() {
        unresolved.add(SERVER, "given up", false, 0);
        int checks = 0;
        for (long now = 0; now <= 3_000; now += 50) {
            unresolved.recordLife(SERVER, millis(now));
            checks += unresolved.startChecks(millis(now)).size();
        }
        assertEquals(0, checks);
    }

    @Test
    void quietServerIsCheckedSixTimesAndOneCheckAtATime() {
        unresolved.add(SERVER, "given up", false, 0);
        assertEquals(List.of(SERVER), unresolved.startChecks(millis(100)));
        assertEquals(List.of(), unresolved.startChecks(millis(400)));
        unresolved.endCheck(SERVER, true);
        assertTrue(unresolved.acceptedConnection(SERVER));
        int checks = 1;
        for (long now = 400; now <= 9_000; now += 50) {
            checks += unresolved.startChecks(millis(now)).size();
            unresolved.endCheck(SERVER, false);
        }
        assertEquals(6, checks);
        assertFalse(unresolved.acceptedConnection(SERVER));
    }

    private void check(long millis, boolean accepts) {
        assertEquals(List.of(SERVER), unresolved.startChecks(millis(millis)));
        unresolved.endCheck(SERVER, accepts);
    }

    /** Guards against an external end that counts against a request whose answer only lost its connection. */
    @Test
    void brokenAnswerDoesNotCountOnceItsServerHasAcceptedAConnectionHalfASecondLater() {
        unresolved.add(SERVER, "broken", true, 0);
        unresolved.add(SERVER, "given up", false, 0);
        unresolved.add(SERVER, "broken later", true, millis(200));
        check(600, true);
        check(800, false);
        assertEquals(List.of("given up", "broken later"), resolve());
    }

    /** Guards against a server that ends slowly and accepts connections for a moment. */
    @Test
    void brokenAnswerCountsWhenItsServerHasAcceptedConnectionsForLess() {
        unresolved.add(SERVER, "broken", true, 0);
        check(100, true);
        check(499, true);
        check(600, false);
        assertEquals(List.of("broken"), resolve());
    }

    /** Guards against a check that began early and is taken for a later one. */
    @Test
    void checkCountsFromItsBeginning() {
        unresolved.add(SERVER, "broken", true, 0);
        assertEquals(List.of(SERVER), unresolved.startChecks(millis(400)));
        assertEquals(List.of(), unresolved.startChecks(millis(600)));
        unresolved.endCheck(SERVER, true);
        assertEquals(List.of("broken"), resolve());
    }

    /** Guards against connections that the next start of a server accepts before its first heartbeat arrives. */
    @Test
    void brokenAnswerCountsWhenTheNextStartMayHaveAcceptedTheConnection() {
        unresolved.add(SERVER, "broken", true, 0);
        check(600, true);
        assertEquals(1, unresolved.resolveStartedAgain(SERVER).size());
    }

    /** Guards against an external end that counts because the server has started again after it. */
    @Test
    void brokenAnswerDoesNotCountForAStartAfterAnEndThatWasSeen() {
        unresolved.add(SERVER, "broken", true, 0);
        check(600, true);
        check(1_200, false);
        assertEquals(0, unresolved.resolveStartedAgain(SERVER).size());
    }

    /** Guards against a server that is not checked, and so seems to have ended, as its other answers go on. */
    @Test
    void busyServerIsCheckedHalfASecondAfterABrokenAnswer() {
        unresolved.add(SERVER, "broken", true, 0);
        int checks = 0;
        for (long now = 0; now <= 2_500; now += 50) {
            unresolved.recordLife(SERVER, millis(now));
            checks += unresolved.startChecks(millis(now)).size();
            unresolved.endCheck(SERVER, true);
        }
        assertEquals(1, checks);
        assertEquals(List.of(), resolve());
    }

    @Test
    void answersExpireAndAreBounded() {
        for (int i = 0; i < 1_000; i++) {
            unresolved.add(new ServerStart(BackendServerId.of("s" + i), 5), "given up", false, millis(i));
            unresolved.add(SERVER, "given up " + i, false, millis(i));
        }
        assertTrue(unresolved.starts().size() <= 256);
        assertTrue(resolve().size() <= 64);
        unresolved.removeExpired(millis(11_000));
        assertTrue(unresolved.isEmpty());
    }
}
