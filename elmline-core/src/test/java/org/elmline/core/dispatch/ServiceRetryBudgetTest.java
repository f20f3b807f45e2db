package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** How many retries are allowed in any window. */
class ServiceRetryBudgetTest {
    private static final long MILLI = 1_000_000L;
    private static final long WINDOW = 10_000 * MILLI;

    /** Guards against twice the bound in a window that begins amid a counted one. */
    @Test
    void allowsNoMoreThanTheSlackInAWindowThatBeginsAnywhere() {
        ServiceRetryBudget budget = new ServiceRetryBudget(new RetryLimit(0.2, 10, WINDOW), 0);
        int granted = 0;
        for (int i = 0; i < 20; i++) {
            granted += budget.tryAcquireRetry(4_999 * MILLI) ? 1 : 0;
        }
        for (int i = 0; i < 20; i++) {
            granted += budget.tryAcquireRetry(10_000 * MILLI) ? 1 : 0;
        }
        assertEquals(10, granted);
        assertTrue(budget.tryAcquireRetry(16_000 * MILLI));
    }

    @Property(tries = 200, seed = "1")
    void keepsToTheBoundInEveryWindow(@ForAll long seed) {
        Random random = new Random(seed);
        RetryLimit limit = new RetryLimit(0.2, random.nextInt(20), WINDOW);
        ServiceRetryBudget budget = new ServiceRetryBudget(limit, 0);
        List<Long> firstSends = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < 2_000; i++) {
            now += random.nextInt(10) == 0 ? random.nextInt(2_000) * MILLI : random.nextInt(20) * MILLI;
            if (random.nextInt(4) == 0) {
                budget.recordFirstSend(now);
                firstSends.add(now);
            } else if (budget.tryAcquireRetry(now)) {
                retries.add(now);
                long end = now;
                long inWindow =
                        retries.stream().filter(each -> each > end - WINDOW).count();
                long sent =
                        firstSends.stream().filter(each -> each > end - WINDOW).count();
                assertTrue(inWindow <= limit.ratio() * sent + limit.slack(), inWindow + " retries, " + sent + " sends");
            }
        }
    }

    @Test
    void retryThatDidNotTakePlaceMayBeUsedAgain() {
        ServiceRetryBudget budget = new ServiceRetryBudget(new RetryLimit(0, 1, WINDOW), 0);
        assertTrue(budget.tryAcquireRetry(0));
        assertFalse(budget.tryAcquireRetry(3_000 * MILLI));
        budget.takeBack(true, 3_000 * MILLI);
        assertTrue(budget.tryAcquireRetry(3_000 * MILLI));
        assertFalse(budget.tryAcquireRetry(3_000 * MILLI));
    }

    @Test
    void firstSendThatDidNotTakePlaceAllowsNoRetry() {
        ServiceRetryBudget budget = new ServiceRetryBudget(new RetryLimit(1, 0, WINDOW), 0);
        budget.recordFirstSend(0);
        budget.takeBack(false, MILLI);
        assertFalse(budget.tryAcquireRetry(MILLI));
    }

    /** Guards against shards of a service that together allow fewer or more retries than the service may have. */
    @Test
    void shardsTogetherHaveTheSlackOfTheService() {
        RetryLimit limit = new RetryLimit(0.2, 7, WINDOW);
        long sum = 0;
        for (int i = 0; i < 4; i++) {
            sum += limit.forShard(new Shard(i, 4)).slack();
        }
        assertEquals(7, sum);
    }
}
