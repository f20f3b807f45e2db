package org.elmline.core.dispatch;

import java.util.List;

import org.elmline.core.common.BackendServerId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Which servers an entry may send to after what they stated. */
class SendRestrictionsTest {
    private static final long MILLI = 1_000_000L;
    private static final long BORN = 1_000;
    private static final BackendServerId SERVER = BackendServerId.of("s1");
    private static final ServerNotice LEAVING = new ServerNotice(ServerRateLimit.NONE, true, 0);

    private final SendRestrictions restrictions = new SendRestrictions();

    private static ServerNotice backoff(long millis) {
        return new ServerNotice(ServerRateLimit.NONE, false, millis);
    }

    /** Guards against a backoff that ends early because a later answer names none or a shorter one. */
    @Test
    void backoffLastsUntilItsLatestEnd() {
        assertTrue(restrictions.update(SERVER, BORN, backoff(3_000), 0));
        assertFalse(restrictions.update(SERVER, BORN, ServerNotice.NONE, 100 * MILLI));
        assertFalse(restrictions.update(SERVER, BORN, backoff(1_000), 200 * MILLI));
        assertFalse(restrictions.allows(SERVER, BORN, 2_999 * MILLI));
        assertEquals(1, restrictions.backoffMillis(SERVER, BORN, 2_999 * MILLI));
        assertTrue(restrictions.allows(SERVER, BORN, 3_000 * MILLI));
        assertEquals(0, restrictions.backoffMillis(SERVER, BORN, 3_000 * MILLI));
    }

    @Test
    void leavingServerGetsNothingUntilItHasStartedAnew() {
        assertTrue(restrictions.update(SERVER, BORN, LEAVING, 0));
        assertFalse(restrictions.update(SERVER, BORN, ServerNotice.NONE, MILLI));
        assertFalse(restrictions.allows(SERVER, BORN, 60_000 * MILLI));
        assertEquals(List.of(SERVER), restrictions.restricted(60_000 * MILLI));
        assertTrue(restrictions.allows(SERVER, BORN + 1, 60_000 * MILLI));
    }

    /** Guards against a restarted server that gets no calls because an answer of its former start arrives late. */
    @Test
    void lateAnswerOfEarlierStartRestrictsNothing() {
        restrictions.update(SERVER, BORN + 1, backoff(1_000), 0);
        assertFalse(restrictions.update(SERVER, BORN, LEAVING, MILLI));
        assertTrue(restrictions.allows(SERVER, BORN + 1, 1_000 * MILLI));
    }

    @Test
    void runningWorkSendsAtMostTwoRequestsInOneBackoff() {
        assertTrue(restrictions.tryEssential(SERVER, BORN, 0));
        restrictions.update(SERVER, BORN, backoff(3_000), 0);
        assertTrue(restrictions.tryEssential(SERVER, BORN, MILLI));
        assertTrue(restrictions.tryEssential(SERVER, BORN, MILLI));
        assertFalse(restrictions.tryEssential(SERVER, BORN, MILLI));
        assertTrue(restrictions.tryEssential(SERVER, BORN, 3_000 * MILLI));
        restrictions.update(SERVER, BORN, backoff(3_000), 4_000 * MILLI);
        assertTrue(restrictions.tryEssential(SERVER, BORN, 4_001 * MILLI));
    }

    /** Guards against the loss of the memory that a running prompt holds on an engine that leaves. */
    @Test
    void runningWorkMaySendToLeavingServer() {
        restrictions.update(SERVER, BORN, LEAVING, 0);
        for (int i = 0; i < 10; i++) {
            assertTrue(restrictions.tryEssential(SERVER, BORN, MILLI));
        }
    }

    /** Guards against a malformed or absurd time that keeps a server out for ever, and against unbounded memory. */
    @Test
    void boundsTimesAndServers() {
        assertFalse(restrictions.update(SERVER, BORN, backoff(-1), 0));
        restrictions.update(SERVER, BORN, backoff(Long.MAX_VALUE), 0);
        assertTrue(restrictions.allows(SERVER, BORN, 3_600_000 * MILLI));
        for (int i = 0; i < 5_000; i++) {
            restrictions.update(BackendServerId.of("x" + i), BORN, LEAVING, 0);
        }
        assertEquals(1_024, restrictions.restricted(0).size());
        assertFalse(restrictions.allows(BackendServerId.of("x4999"), BORN, 0));
    }
}
