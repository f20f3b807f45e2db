package org.elmline.daemon.gateway;

import java.time.Duration;

import org.elmline.core.common.ManualClock;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class SilenceTimerTest {
    private final ManualClock clock = new ManualClock();
    private final ManualThread thread = new ManualThread();
    private int silences;
    private final InactivityTimer timer = new InactivityTimer(thread, clock, () -> silences++);

    private void runLaterAfter(long millis) {
        clock.advance(Duration.ofMillis(millis));
        thread.runLater();
    }

    @Test
    void silenceIsNoticed() {
        timer.restart(300);
        runLaterAfter(301);
        assertEquals(1, silences);
    }

    @Test
    void whatIsNotExpectedAnyMoreIsNotMissed() {
        timer.restart(300);
        timer.cancel();
        runLaterAfter(301);
        assertEquals(0, silences);
    }

    /** Guards against an entry that was held up for a second taking all its servers for dead. */
    @Test
    void anEntryThatDidNotListenBlamesNobody() {
        timer.restart(300);
        runLaterAfter(1_300);
        assertEquals(0, silences, "what came meanwhile is still to be read");
        runLaterAfter(101);
        assertEquals(1, silences, "nothing had come");
    }
}
