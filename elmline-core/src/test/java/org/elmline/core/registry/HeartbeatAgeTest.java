package org.elmline.core.registry;

import java.util.OptionalLong;

import org.elmline.core.common.BackendServerId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class HeartbeatAgeTest {
    private static OptionalLong receivedAtNanos(long ageMillis, long now) {
        return new HeartbeatAge(BackendServerId.of("r1"), 5, 7, ageMillis).receivedAtNanos(now);
    }

    /** Guards against a server that never expires, as another control host reports an age that is out of range. */
    @Test
    void ageOutOfRangeIsNoHeartbeat() {
        assertEquals(OptionalLong.of(3_000_000), receivedAtNanos(2, 5_000_000));
        assertEquals(OptionalLong.of(5), receivedAtNanos(0, 5));
        for (long each : new long[] {-1, Long.MIN_VALUE, Long.MAX_VALUE, Long.MAX_VALUE / 1_000_000 + 1}) {
            assertEquals(OptionalLong.empty(), receivedAtNanos(each, 5), each + " ms");
        }
    }
}
