package org.elmline.daemon.gateway;

import java.time.Duration;

import org.elmline.core.common.ManualClock;
import org.elmline.core.routing.CallKind;
import org.elmline.core.routing.CallRoute;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Which calls an entry admits while it stops. */
class GracefulShutdownTest {

    private static final CallRoute STREAM = route(CallKind.STREAMING, 300);
    private static final CallRoute PLAIN = route(CallKind.IDEMPOTENT, 200);

    private final ManualClock clock = new ManualClock();
    private final GracefulShutdown shutdown = new GracefulShutdown(clock, 8_000);

    private static CallRoute route(CallKind kind, int aimMillis) {
        return CallRoute.builder()
                .name("r")
                .hostAndPath("h", "/a/")
                .kind(kind)
                .aimMillis(aimMillis)
                .build();
    }

    private void advanceMillis(long millis) {
        clock.advance(Duration.ofMillis(millis));
    }

    /**
     * Guards against a long stream that is cut off by the end of the process: one that came 3.3 s after the start of
     * the stop waited for engines and took three seconds of prefill, and the drain time of 8 s ended during its answer.
     */
    @Test
    void rejectsStreamsThatCouldOutlastTheStop() {
        assertTrue(shutdown.admits(STREAM));
        shutdown.begin();
        assertTrue(shutdown.admits(STREAM), "callers keep the address for a while");
        advanceMillis(2_400);
        assertTrue(shutdown.admits(STREAM));
        advanceMillis(200);
        assertFalse(shutdown.admits(STREAM));
        assertTrue(shutdown.admits(PLAIN), "a plain call takes a tenth of a second");
        advanceMillis(3_800);
        assertFalse(shutdown.admits(PLAIN));
    }

    /** Guards against streams that are sent to a server although their first event is predicted too late for the stop. */
    @Test
    void sendsNoStreamThatIsPredictedToOutlastTheStop() {
        assertTrue(shutdown.canFinish(STREAM, 20_000));
        shutdown.begin();
        assertTrue(shutdown.canFinish(STREAM, 5_000));
        assertFalse(shutdown.canFinish(STREAM, 6_000));
        advanceMillis(2_400);
        assertTrue(shutdown.canFinish(STREAM, 2_500));
        assertFalse(shutdown.canFinish(STREAM, 3_500));
        assertTrue(shutdown.canFinish(PLAIN, 3_500));
    }

    @Test
    void endsWhenNoCallIsOpenOrTimeIsUp() {
        shutdown.begin();
        advanceMillis(3_000);
        assertFalse(shutdown.shouldEnd(0), "callers may still come");
        advanceMillis(1_100);
        assertTrue(shutdown.shouldEnd(0));
        assertFalse(shutdown.shouldEnd(1));
        advanceMillis(3_300);
        assertTrue(shutdown.shouldEnd(1));
    }

    /**
     * Guards against a connection that is closed without an answer although a server has begun to work: the entry has
     * no open call and decides to end, and a request arrives before the process has ended.
     */
    @Test
    void admitsNothingOnceTheProcessEnds() {
        shutdown.begin();
        advanceMillis(4_100);
        assertTrue(shutdown.admits(PLAIN));
        assertTrue(shutdown.tryEnd(0));
        assertFalse(shutdown.admits(PLAIN));
    }
}
