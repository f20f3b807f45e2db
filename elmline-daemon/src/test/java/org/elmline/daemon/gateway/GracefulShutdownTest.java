package org.elmline.daemon.gateway;

import java.time.Duration;

import org.elmline.core.common.ManualClock;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What an entry still takes while it stops. */
class GracefulShutdownTest {

    private final ManualClock clock = new ManualClock();
    private final GracefulShutdown shutdown = new GracefulShutdown(clock, 8_000);

    private void advanceMillis(long millis) {
        clock.advance(Duration.ofMillis(millis));
    }

    /**
     * A board's audit was cut in the middle: it came 3.3 s after the entry was told to stop, waited for engines, read for
     * three seconds, and the entry's eight seconds were over amid its answer.
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
     * A caller's connection is closed without an answer, though a server had begun to work: the entry had no open call and
     * decided to end, and the request came before the process was gone.
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
