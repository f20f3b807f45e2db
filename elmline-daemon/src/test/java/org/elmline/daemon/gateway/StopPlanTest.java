package org.elmline.daemon.gateway;

import java.time.Duration;

import org.elmline.core.common.ManualClock;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What an entry still takes while it stops. */
class StopPlanTest {

    private final ManualClock clock = new ManualClock();
    private final GracefulShutdown plan = new GracefulShutdown(clock, 8_000);

    private void after(long millis) {
        clock.advance(Duration.ofMillis(millis));
    }

    /**
     * A board's audit was cut in the middle: it came 3.3 s after the entry was told to stop, waited for engines, read for
     * three seconds, and the entry's eight seconds were over amid its answer.
     */
    @Test
    void longWorkIsTurnedAwayBeforeItCouldBeCut() {
        assertTrue(plan.admits(true));
        plan.begin();
        assertTrue(plan.admits(true), "callers keep the address for a while");
        after(2_400);
        assertTrue(plan.admits(true));
        after(200);
        assertFalse(plan.admits(true));
        assertTrue(plan.admits(false), "a plain call takes a tenth of a second");
        after(3_800);
        assertFalse(plan.admits(false));
    }

    @Test
    void theProcessEndsWhenNothingIsLeftOrTimeIsUp() {
        plan.begin();
        after(3_000);
        assertFalse(plan.shouldEnd(0), "callers may still come");
        after(1_100);
        assertTrue(plan.shouldEnd(0));
        assertFalse(plan.shouldEnd(1));
        after(3_300);
        assertTrue(plan.shouldEnd(1));
    }

    /**
     * A caller's connection is closed without an answer, though a server had begun to work: the entry had no open call and
     * decided to end, and the request came before the process was gone.
     */
    @Test
    void nothingIsTakenOnceTheProcessEnds() {
        plan.begin();
        after(4_100);
        assertTrue(plan.admits(false));
        assertTrue(plan.tryEnd(0));
        assertFalse(plan.admits(false));
    }
}
