package org.elmline.core.dispatch;

import org.elmline.core.common.BackendServerId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ServerLimitsTest {
    private static final BackendServerId A = BackendServerId.of("a");
    private static final ServerRateLimit TWO = ServerRateLimit.ofPerSecond(2);
    private static final long MILLI = 1_000_000L;

    @Test
    void aLimitHoldsUntilAnAnswerIsWithoutIt() {
        ServerRateLimits limits = new ServerRateLimits();
        assertTrue(limits.update(A, TWO, 0));
        assertFalse(limits.update(A, TWO, 600 * MILLI), "nothing new");
        assertEquals(2, limits.limitOf(A).requestsPerSecond());
        assertTrue(limits.update(A, ServerRateLimit.NONE, 1_200 * MILLI));
        assertFalse(limits.limitOf(A).isLimited());
    }

    /** Guards against a limit that is lifted by an answer generated before it was reported. */
    @Test
    void anAnswerThatWasOvertakenLiftsNothing() {
        ServerRateLimits limits = new ServerRateLimits();
        limits.update(A, TWO, 0);
        assertFalse(limits.update(A, ServerRateLimit.NONE, 100 * MILLI));
        assertTrue(limits.limitOf(A).isLimited());
    }

    /** Guards against a server that gets no more requests and so cannot report that its overload has ended. */
    @Test
    void aLimitOfNothingLeavesARequestNowAndThen() {
        assertEquals(0.25, ServerRateLimit.ofPerSecond(0).requestsPerSecond());
        assertEquals(0.25, ServerRateLimit.ofPerSecond(-3).requestsPerSecond());
        assertTrue(ServerRateLimit.ofPerSecond(Double.POSITIVE_INFINITY).isLimited());
    }
}
