package org.elmline.core.control;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.elmline.core.control.ControlFixture.ISSUED;
import static org.elmline.core.control.ControlFixture.SNOWPAW;
import static org.elmline.core.control.ControlFixture.owner;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ClaimBatcherTest {
    private final ControlFixture control = new ControlFixture();
    private final ClaimBatcher<Integer> batcher = new ClaimBatcher<>(100, 150);

    @Test
    void claimsReceivedDuringASyncShareTheNextBatch() {
        batcher.begin(begin(0), 0);
        ClaimBatch<Integer> first = batcher.nextBatches(ISSUED).get(0);
        int commands = 1;
        int claims = 1;
        for (int i = 1; i <= 150; i++) {
            assertTrue(batcher.begin(begin(i), i));
        }
        assertFalse(batcher.begin(begin(151), 151));
        assertTrue(batcher.nextBatches(ISSUED).isEmpty());

        batcher.complete(first);
        for (List<ClaimBatch<Integer>> next = batcher.nextBatches(ISSUED);
                !next.isEmpty();
                next = batcher.nextBatches(ISSUED)) {
            CommandResult.ClaimsDecided decided =
                    (CommandResult.ClaimsDecided) control.apply(next.get(0).command());
            assertEquals(next.get(0).waiters().size(), decided.outcomes().size());
            claims += decided.outcomes().size();
            commands++;
            batcher.complete(next.get(0));
        }

        assertEquals(151, claims);
        assertEquals(3, commands);
    }

    @Test
    void proposesBeginsAndFinishesInParallelAndDrainsWaiters() {
        ClaimBegin begin = begin(1);
        batcher.finish(new ClaimFinish(begin.key(), begin.owner(), null), 1);
        batcher.begin(begin, 2);
        assertEquals(2, batcher.nextBatches(ISSUED).size());
        batcher.begin(begin(3), 3);

        assertEquals(List.of(3), batcher.drainWaiters());
        assertTrue(batcher.nextBatches(ISSUED).isEmpty());
    }

    private ClaimBegin begin(long session) {
        return new ClaimBegin(control.key(SNOWPAW), "digest", owner("a", session));
    }
}
