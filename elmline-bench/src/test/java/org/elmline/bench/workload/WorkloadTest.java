package org.elmline.bench.workload;

import java.util.List;

import org.elmline.standin.model.EngineProfile;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class WorkloadTest {
    private static final EngineProfile PROFILE = EngineProfile.builder().build();

    @Test
    void sameSeedGivesSameRequests() {
        Workload workload = new Workload(PromptMix.SNOWPAW, PROFILE);
        assertEquals(workload.generate(0.8, 30, 1), workload.generate(0.8, 30, 1));
    }

    @Test
    void oneInFiftyIsOver100kTokensAndLengthsStayInRange() {
        for (PromptMix mix : PromptMix.values()) {
            List<Arrival> arrivals = new Workload(mix, PROFILE).generate(0.8, 2_000, 3);
            long over =
                    arrivals.stream().filter(a -> a.promptTokens() > 100_000).count();
            assertEquals(PromptMix.OVER_100K_SHARE, (double) over / arrivals.size(), 0.004);
            assertTrue(arrivals.stream().allMatch(a -> a.promptTokens() >= 1_000 && a.promptTokens() <= 1_000_000));
        }
    }

    @Test
    void offeredLoadMatchesRequestedLoad() {
        Workload workload = new Workload(PromptMix.ZRNO, PROFILE);
        double nanos = 0;
        for (Arrival each : workload.generate(0.8, 4_000, 7)) {
            nanos += workload.costNanos(each.promptTokens(), each.outputTokens());
        }
        assertEquals(0.8, nanos / 1e9 / 4_000 / PromptMix.ZRNO.engines(), 0.05);
    }

    @Test
    void organisationsDifferInSize() {
        List<Arrival> arrivals = new Workload(PromptMix.SNOWPAW, PROFILE).generate(0.8, 1_000, 3);
        long largest = arrivals.stream().filter(a -> a.organisation() == 0).count();
        long smallest = arrivals.stream().filter(a -> a.organisation() == 9).count();
        assertTrue(largest > 7 * smallest);
    }
}
