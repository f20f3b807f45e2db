package org.elmline.bench.timeline;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ClockOrderExperimentTest {
    private static final int MESSAGES = 20_000;

    @Test
    void hybridTimeNeverInverts() {
        for (double skewMillis : new double[] {0.5, 5, 50}) {
            ClockOrderResult result = run(skewMillis);
            assertEquals(0, result.hybridInversions(), result::toString);
            assertTrue(result.maxAheadMillis() <= 2 * skewMillis + 1, result::toString);
        }
    }

    @Test
    void wallClocksInvertUnderSkewAndNotWithout() {
        assertEquals(0, run(0).wallInversions());
        assertTrue(run(5).wallInversionRate() > 0.2, () -> run(5).toString());
    }

    @Test
    void sameSetupGivesSameCounts() {
        assertEquals(run(2), run(2));
    }

    private static ClockOrderResult run(double skewMillis) {
        return ClockOrderExperiment.run(new ClockOrderSetup(18, skewMillis, 500, 100, MESSAGES, 7));
    }
}
