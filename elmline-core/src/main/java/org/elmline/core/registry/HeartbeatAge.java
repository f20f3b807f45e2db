package org.elmline.core.registry;

import java.util.OptionalLong;

import org.elmline.core.common.AgeRange;
import org.elmline.core.common.BackendServerId;

/** How long ago a control host directly received a server's latest heartbeat, in milliseconds. */
public record HeartbeatAge(BackendServerId id, long bornMillis, long sequence, long ageMillis) {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    public HeartbeatAge {
        if (id == null) {
            throw new IllegalArgumentException("a heartbeat needs the id of its server");
        }
    }

    /**
     * When the heartbeat was received, in nanoseconds of the clock that {@code now} is read from; empty if the age is out
     * of range. A server with a heartbeat in the future would not expire.
     */
    public OptionalLong receivedAtNanos(long now) {
        return AgeRange.contains(ageMillis) ? OptionalLong.of(now - ageMillis * NANOS_PER_MILLI) : OptionalLong.empty();
    }
}
