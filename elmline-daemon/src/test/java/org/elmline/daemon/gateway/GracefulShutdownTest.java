package org.elmline.daemon.gateway;

import java.time.Duration;

import org.elmline.core.common.ManualClock;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Which calls an entry admits while it stops. */
class GracefulShutdownTest {

    private final ManualClock clock = new ManualClock();
    private final GracefulShutdown shutdown = new GracefulShutdown(clock, 8_000);

    private void advanceMillis(long millis) {
        clock.advance(Duration.ofMillis(millis));
    }

    /**
     * Guards against a long stream that is cut off by the end of the process: one that came 3.3 s after the start of
     * the stop waited for engines and took three seconds of prefill, and the drain time of 8 s ended during its answer.
     */
    @Test
    void rejectsStreamsThatCouldOutlastTheStop() {
        assertTrue(shutdown.admits(true));
        shutdown.begin();
        assertTrue(shutdown.admits(true), "callers keep the address for a while");
        advanceMillis(2_400);
        assertTrue(shutdown.admits(true));
        advanceMillis(200);
        assertFalse(shutdown.admits(true));
        assertTrue(shutdown.admits(false), "a plain call takes a tenth of a second");
        advanceMillis(3_800);
        assertFalse(shutdown.admits(false));
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
        assertTrue(shutdown.admits(false));
        assertTrue(shutdown.tryEnd(0));
        assertFalse(shutdown.admits(false));
    }
}
