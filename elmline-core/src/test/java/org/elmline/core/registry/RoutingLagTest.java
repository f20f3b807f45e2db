package org.elmline.core.registry;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RoutingLagTest {
    private final RoutingLag lag = new RoutingLag();

    /** Guards against calls routed by an old table for as long as an overloaded control host does not send the new one. */
    @Test
    void lagsFromTheFirstAnnouncementThatIsNotHeld() {
        lag.onHeld(3, 0);
        assertTrue(lag.onAnnounced(4, 100));
        assertTrue(lag.onAnnounced(5, 900));
        assertFalse(lag.onAnnounced(5, 950));
        assertEquals(5, lag.announcedVersion());
        assertFalse(lag.isLaggingFor(1_000, 1_099));
        assertTrue(lag.isLaggingFor(1_000, 1_100));
    }

    /** Changes that follow one another quickly are no lag while each new table takes force. */
    @Test
    void lagsAnewFromEachTableThatTakesForce() {
        lag.onHeld(3, 0);
        lag.onAnnounced(4, 100);
        lag.onAnnounced(5, 900);
        lag.onHeld(4, 1_000);
        assertFalse(lag.isLaggingFor(1_000, 1_999));
        assertTrue(lag.isLaggingFor(1_000, 2_000));
        lag.onHeld(5, 2_100);
        assertFalse(lag.isLagging());
        assertFalse(lag.isLaggingFor(1_000, 9_000));
    }
}
