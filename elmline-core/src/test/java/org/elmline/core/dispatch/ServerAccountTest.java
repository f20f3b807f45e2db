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

class ServerAccountTest {
    private static final long MILLI = 1_000_000L;
    private static final ServiceName DESK = ServiceName.of("desk");
    private static final BatchTiming TIMING =
            new BatchTiming(11, 450_000, 46, 0.925, 0.007, 0.00254, 256, 0.0917, 2048, 0.1);
    private static final Registration SERVER = new Registration(
            BackendServerId.of("s"),
            DESK,
            new Address("10.0.0.1", 80),
            FailureDomain.of("a"),
            11,
            ServerState.READY,
            1,
            1);

    private int next;

    private DispatchCall call(long prompt, int gap) {
        return new DispatchCall(
                "c" + next++,
                HostId.of("e"),
                1,
                FailureDomain.of("a"),
                DESK,
                Shard.WHOLE,
                1,
                prompt,
                1_600,
                1_600,
                300,
                gap,
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
    void anEngineThatIsIdleAgainHasItsWholeRoom(@ForAll long seed) {
        Random random = new Random(seed);
        ServerLoad account = new ServerLoad(SERVER, TIMING, 0);
        ServerLoad fresh = new ServerLoad(SERVER, TIMING, 0);
        List<String> attempts = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            DispatchCall call = random.nextBoolean() ? call(5_000, 200) : call(1_000 * (1 + random.nextInt(300)), 800);
            account.grant(
                    new Allocation(call, random.nextInt(3) > 0, random.nextInt(200), call.memoryTokens()), i * MILLI);
            attempts.add(call.attempt());
            if (random.nextBoolean()) {
                account.startDecoding(attempts.get(random.nextInt(attempts.size())), i * MILLI);
            }
            if (random.nextBoolean()) {
                account.end(attempts.remove(random.nextInt(attempts.size())), i * MILLI);
            }
            int tightest = account.allocations().stream()
                    .filter(Allocation::isPrimary)
                    .mapToInt(each -> each.call().gapMillis())
                    .min()
                    .orElse(Integer.MAX_VALUE);
            assertEquals(tightest, account.shortestGapMillis());
        }
        attempts.forEach(each -> account.end(each, 300 * MILLI));
        assertEquals(fresh.freeMemoryTokens(), account.freeMemoryTokens());
        assertEquals(fresh.freeSlots(), account.freeSlots());
        assertEquals(fresh.passMillis(0, 0), account.passMillis(0, 0));
        assertEquals(0, account.backlogMillis(300 * MILLI));
        assertEquals(Integer.MAX_VALUE, account.shortestGapMillis());
        assertTrue(!account.isDecoding() && account.isIdle());
    }
}
