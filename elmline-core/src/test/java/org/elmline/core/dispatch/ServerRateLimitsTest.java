package org.elmline.core.dispatch;

import org.elmline.core.common.BackendServerId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ServerRateLimitsTest {
    private static final BackendServerId SERVER = BackendServerId.of("a");
    private static final ServerRateLimit TWO_PER_SECOND = ServerRateLimit.ofPerSecond(2);
    private static final long MILLI = 1_000_000L;

    @Test
    void keepsLimitUntilAnswerWithoutLimit() {
        ServerRateLimits limits = new ServerRateLimits();
        assertTrue(limits.update(SERVER, TWO_PER_SECOND, 0));
        assertFalse(limits.update(SERVER, TWO_PER_SECOND, 600 * MILLI), "limit unchanged");
        assertEquals(2, limits.limitOf(SERVER).requestsPerSecond());
        assertTrue(limits.update(SERVER, ServerRateLimit.NONE, 1_200 * MILLI));
        assertFalse(limits.limitOf(SERVER).isLimited());
    }

    /** Guards against a limit that is lifted by an answer generated before it was reported. */
    @Test
    void ignoresReorderedAnswerWithoutLimit() {
        ServerRateLimits limits = new ServerRateLimits();
        limits.update(SERVER, TWO_PER_SECOND, 0);
        assertFalse(limits.update(SERVER, ServerRateLimit.NONE, 100 * MILLI));
        assertTrue(limits.limitOf(SERVER).isLimited());
    }

    /** Guards against a server that gets no more requests and so cannot report that its overload has ended. */
    @Test
    void boundsSpacingForLimitOfZero() {
        assertEquals(0.25, ServerRateLimit.ofPerSecond(0).requestsPerSecond());
        assertEquals(0.25, ServerRateLimit.ofPerSecond(-3).requestsPerSecond());
        assertTrue(ServerRateLimit.ofPerSecond(Double.POSITIVE_INFINITY).isLimited());
    }
}
