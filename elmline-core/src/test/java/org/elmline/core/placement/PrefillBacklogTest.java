package org.elmline.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.elmline.core.common.LengthClass;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PrefillBacklogTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void drainsShortestClassFirstAtTheAnnouncedSpeed() {
        PrefillBacklog backlog = new PrefillBacklog(10_000, 0);
        backlog.recordPlacement(LengthClass.HUGE, 100_000, 10, 0);
        backlog.recordPlacement(LengthClass.SHORT, 2_000, 0.2, 0);
        assertEquals(2_000, backlog.remainingTokens(LengthClass.SHORT, 0));
        assertEquals(100, backlog.remainingTokens(LengthClass.SHORT, SECOND), 1);
        assertEquals(91_900, backlog.remainingTokens(LengthClass.HUGE, SECOND), 1);
    }

    /** An engine at a tenth of its speed that reports no load is detected within seconds by overdue first tokens. */
    @Test
    void overdueFirstTokensLowerMeasuredSpeed() {
        PrefillBacklog backlog = new PrefillBacklog(10_000, 0);
        for (int i = 0; i < 5; i++) {
            backlog.recordPlacement(LengthClass.SHORT, 2_000, 0.2 * (i + 1), 0);
        }
        assertEquals(10_000, backlog.tokensPerSecond(SECOND / 2));
        assertTrue(backlog.tokensPerSecond(5 * SECOND) < 2_000, "measured " + backlog.tokensPerSecond(5 * SECOND));
    }

    @Test
    void measuredSpeedRecoversWithoutNewSamples() {
        PrefillBacklog backlog = new PrefillBacklog(10_000, 0);
        long now = 0;
        for (int i = 0; i < 40; i++) {
            PrefillBacklog.Prefill prefill = backlog.recordPlacement(LengthClass.SHORT, 2_000, 0.2, now);
            now += 2 * SECOND;
            backlog.recordFirstToken(prefill, now);
        }
        double slow = backlog.tokensPerSecond(now);
        assertTrue(slow < 4_000, "measured " + slow);
        assertTrue(backlog.tokensPerSecond(now + 120 * SECOND) > 9_000);
    }

    @Property(tries = 300, seed = "77")
    void isNeverNegativeAndEmptyOnceAllPrefillsAreClosed(@ForAll @IntRange(max = 1_000_000) int seed) {
        Random random = new Random(seed);
        PrefillBacklog backlog = new PrefillBacklog(10_000, 0);
        List<PrefillBacklog.Prefill> open = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < 200; i++) {
            now += random.nextInt(500_000_000);
            LengthClass lengthClass = LengthClass.values()[random.nextInt(4)];
            if (open.isEmpty() || random.nextBoolean()) {
                open.add(backlog.recordPlacement(lengthClass, 1 + random.nextInt(50_000), random.nextDouble(), now));
            } else {
                PrefillBacklog.Prefill closed = open.remove(random.nextInt(open.size()));
                if (random.nextBoolean()) {
                    backlog.recordFirstToken(closed, now);
                } else {
                    backlog.cancel(closed, now);
                }
                backlog.cancel(closed, now);
            }
            for (LengthClass each : LengthClass.values()) {
                assertTrue(backlog.remainingTokens(each, now) >= 0);
            }
        }
        for (PrefillBacklog.Prefill each : open) {
            backlog.cancel(each, now);
        }
        for (LengthClass each : LengthClass.values()) {
            assertEquals(0, backlog.remainingTokens(each, now));
        }
    }
}
