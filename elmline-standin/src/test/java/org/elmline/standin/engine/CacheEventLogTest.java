package org.elmline.standin.engine;

import java.util.List;

import org.elmline.core.engine.CacheEvents;
import org.elmline.core.engine.EngineLoad;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CacheEventLogTest {
    @Test
    void publishesEventsAfterDelay() {
        CacheEventLog log = new CacheEventLog(100, 0, 1);
        log.add(42, true, 1_000);
        assertEquals(List.of(), log.after(0, 1_099).events());
        assertEquals(
                List.of(new CacheEvents.Event(1, 42, true)), log.after(0, 1_100).events());
    }

    @Test
    void lostEventUsesUpItsSequenceNumber() {
        CacheEventLog log = new CacheEventLog(0, 0.5, 1);
        for (int i = 0; i < 1_000; i++) {
            log.add(i, true, i);
        }
        CacheEvents events = log.after(0, 1_000);
        int published = events.events().size();
        assertTrue(published > 400 && published < 600, "published " + published);
        assertTrue(events.lastSequence() > published);
    }

    @Test
    void delayedLoadReportsEarlierInterval() {
        DelayedLoad load = new DelayedLoad(100);
        EngineLoad busy = new EngineLoad(3, 2, 1);
        assertEquals(0, load.report(busy, 0).streams());
        assertEquals(0, load.report(busy, 99).streams());
        assertEquals(3, load.report(new EngineLoad(0, 0, 0), 100).streams());
        assertEquals(0, load.report(busy, 200).streams());
    }
}
