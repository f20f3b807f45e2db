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

    /** Guards against an entry that treats all its servers as failed after its thread was stalled for a second. */
    @Test
    void allowsGraceTimeAfterThreadStall() {
        timer.restart(300);
        runLaterAfter(1_300);
        assertEquals(0, expiries, "messages that arrived during the stall are still unread");
        runLaterAfter(101);
        assertEquals(1, expiries, "no message had arrived");
    }
}
