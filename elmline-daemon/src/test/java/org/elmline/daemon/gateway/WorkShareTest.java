package org.elmline.daemon.gateway;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class WorkShareTest {
    private static final long MILLI = 1_000_000L;

    /** Guards against a dispatcher that answers nobody as it looks through its queue at each call and report of a burst. */
    @Test
    void workThatIsWantedAllTheTimeKeepsToItsShare() {
        DutyCycleLimiter share = new DutyCycleLimiter(0.2, 1_000 * MILLI);
        Random random = new Random(5);
        long worked = 0;
        long now = 0;
        while (now < 10_000 * MILLI) {
            if (share.mayRun(now)) {
                long took = random.nextInt((int) (20 * MILLI));
                share.recordRun(now, now + took);
                worked += took;
                now += took;
            }
            now += MILLI / 10;
        }
        assertTrue(worked <= 0.21 * now, worked + " of " + now);
    }

    /** Guards against calls that wait for seconds as the process was frozen amid a look. */
    @Test
    void restsAreBounded() {
        DutyCycleLimiter share = new DutyCycleLimiter(0.2, 40 * MILLI);
        share.recordRun(0, 4_000 * MILLI);
        assertFalse(share.mayRun(4_039 * MILLI));
        assertTrue(share.mayRun(4_040 * MILLI));
    }
}
