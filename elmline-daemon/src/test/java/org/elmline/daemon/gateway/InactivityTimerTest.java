package org.elmline.daemon.gateway;

import java.time.Duration;

import org.elmline.core.common.ManualClock;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class InactivityTimerTest {
    private final ManualClock clock = new ManualClock();
    private final ManualThread thread = new ManualThread();
    private int expiries;
    private final InactivityTimer timer = new InactivityTimer(thread, clock, () -> expiries++);

    private void runLaterAfter(long millis) {
        clock.advance(Duration.ofMillis(millis));
        thread.runLater();
    }

    @Test
    void runsListenerWhenTimeIsUp() {
        timer.restart(300);
        runLaterAfter(301);
        assertEquals(1, expiries);
    }

    @Test
    void doesNotRunListenerAfterCancel() {
        timer.restart(300);
        timer.cancel();
        runLaterAfter(301);
        assertEquals(0, expiries);
    }

    /** Guards against an entry that was held up for a second taking all its servers for dead. */
    @Test
    void allowsGraceTimeAfterThreadStall() {
        timer.restart(300);
        runLaterAfter(1_300);
        assertEquals(0, expiries, "what came meanwhile is still to be read");
        runLaterAfter(101);
        assertEquals(1, expiries, "nothing had come");
    }
}
