package org.elmline.core.dispatch;

import org.elmline.core.common.BackendServerId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ServerLimitsTest {
    private static final BackendServerId A = BackendServerId.of("a");
    private static final ServerLimit TWO = ServerLimit.ofPerSecond(2);
    private static final long MILLI = 1_000_000L;

    @Test
    void aLimitHoldsUntilAnAnswerIsWithoutIt() {
        ServerLimits limits = new ServerLimits();
        assertTrue(limits.learn(A, TWO, 0));
        assertFalse(limits.learn(A, TWO, 600 * MILLI), "nothing new");
        assertEquals(2, limits.of(A).perSecond());
        assertTrue(limits.learn(A, ServerLimit.NONE, 1_200 * MILLI));
        assertFalse(limits.of(A).isLimited());
    }

    /** Guards against a limit that is lifted by an answer given before it was named. */
    @Test
    void anAnswerThatWasOvertakenLiftsNothing() {
        ServerLimits limits = new ServerLimits();
        limits.learn(A, TWO, 0);
        assertFalse(limits.learn(A, ServerLimit.NONE, 100 * MILLI));
        assertTrue(limits.of(A).isLimited());
    }

    /** Guards against a server that is never asked again and so can't say that its need is over. */
    @Test
    void aLimitOfNothingLeavesARequestNowAndThen() {
        assertEquals(0.25, ServerLimit.ofPerSecond(0).perSecond());
        assertEquals(0.25, ServerLimit.ofPerSecond(-3).perSecond());
        assertTrue(ServerLimit.ofPerSecond(Double.POSITIVE_INFINITY).isLimited());
    }
}
