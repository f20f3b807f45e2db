package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.ServiceName;
import org.elmline.core.registry.Registration;
import org.elmline.core.registry.ServerState;
import org.elmline.core.routing.BatchTiming;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ServerLoadTest {
    private static final long MILLI = 1_000_000L;
    private static final ServiceName SERVICE = ServiceName.of("desk");
    private static final BatchTiming TIMING =
            new BatchTiming(11, 450_000, 46, 0.925, 0.007, 0.00254, 256, 0.0917, 2048, 0.1);
    private static final Registration SERVER = new Registration(
            BackendServerId.of("s"),
            SERVICE,
            new Address("10.0.0.1", 80),
            FailureDomain.of("a"),
            11,
            ServerState.READY,
            1,
            1);

    private int nextAttempt;

    private DispatchCall call(long promptTokens, int gapMillis) {
        return new DispatchCall(
                "c" + nextAttempt++,
                HostId.of("e"),
                1,
                FailureDomain.of("a"),
                SERVICE,
                Shard.WHOLE,
                1,
                promptTokens,
                1_600,
                1_600,
                300,
                gapMillis,
                10_000,
                10_000,
                false,
                List.of());
    }

    /**
     * Guards against sums that drift from the running calls: after any sequence of grants and ends, an idle engine has
     * all its capacity.
     */
    @Property(tries = 40, seed = "12")
    void idleEngineHasItsWholeCapacity(@ForAll long seed) {
        Random random = new Random(seed);
        ServerLoad load = new ServerLoad(SERVER, TIMING, 0);
        ServerLoad fresh = new ServerLoad(SERVER, TIMING, 0);
        List<String> attempts = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            DispatchCall call = random.nextBoolean() ? call(5_000, 200) : call(1_000 * (1 + random.nextInt(300)), 800);
            load.grant(
                    new Allocation(call, random.nextInt(3) > 0, random.nextInt(200), call.memoryTokens()), i * MILLI);
            attempts.add(call.attempt());
            if (random.nextBoolean()) {
                load.startDecoding(attempts.get(random.nextInt(attempts.size())), i * MILLI);
            }
            if (random.nextBoolean()) {
                load.end(attempts.remove(random.nextInt(attempts.size())), i * MILLI);
            }
            int shortestGap = load.allocations().stream()
                    .filter(Allocation::isPrimary)
                    .mapToInt(each -> each.call().gapMillis())
                    .min()
                    .orElse(Integer.MAX_VALUE);
            assertEquals(shortestGap, load.shortestGapMillis());
        }
        attempts.forEach(each -> load.end(each, 300 * MILLI));
        assertEquals(fresh.freeMemoryTokens(), load.freeMemoryTokens());
        assertEquals(fresh.freeSlots(), load.freeSlots());
        assertEquals(fresh.passMillis(0, 0), load.passMillis(0, 0));
        assertEquals(0, load.backlogMillis(300 * MILLI));
        assertEquals(Integer.MAX_VALUE, load.shortestGapMillis());
        assertTrue(!load.isDecoding() && load.isIdle());
    }
}
