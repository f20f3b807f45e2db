package org.elmline.core.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TimingWheelTest {
    private static final long TICK = 10;

    /**
     * Compares the wheel with a map of deadlines: nothing expires early, and nothing later than the first call one tick
     * after its deadline.
     */
    @Property(tries = 300, seed = "5002")
    void expiresWithinOneTickOfDeadline(@ForAll long seed) {
        Random random = new Random(seed);
        TimingWheel<Integer> wheel = new TimingWheel<>(TICK, 8);
        Map<Integer, Long> deadlines = new HashMap<>();
        long now = random.nextInt(1_000) - 500;
        for (int step = 0; step < 200; step++) {
            int key = random.nextInt(20);
            if (random.nextInt(4) == 0) {
                assertEquals(deadlines.remove(key) != null, wheel.cancel(key));
            } else if (random.nextBoolean()) {
                long deadline = now + random.nextInt(300) - 20;
                wheel.set(key, deadline, now);
                deadlines.put(key, deadline);
            }
            now += random.nextInt(random.nextInt(10) == 0 ? 500 : 15);
            checkExpired(new HashSet<>(wheel.expire(now)), deadlines, now);
            assertEquals(deadlines.size(), wheel.size());
        }
    }

    private static void checkExpired(Set<Integer> expired, Map<Integer, Long> deadlines, long now) {
        for (Integer each : expired) {
            assertTrue(deadlines.remove(each) <= now, "expired early");
        }
        assertTrue(
                deadlines.values().stream().allMatch(each -> each + TICK > now),
                "not expired one tick after its deadline");
    }
}
