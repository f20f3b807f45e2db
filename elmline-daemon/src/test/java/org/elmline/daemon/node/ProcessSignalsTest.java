package org.elmline.daemon.node;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.atomic.AtomicInteger;

import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.runtime.SystemClock;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Signals that arrive before the process has started, and after. */
class ProcessSignalsTest {
    /** Guards against settings that stay outdated because they changed while the process started. */
    @Test
    void reloadsOnceAtTheStartForEarlierSignals() {
        ProcessSignals signals = new ProcessSignals();
        AtomicInteger reloads = new AtomicInteger();
        signals.reload();
        signals.reload();
        signals.onStarted(reloads::incrementAndGet);
        assertEquals(1, reloads.get());
        signals.reload();
        assertEquals(2, reloads.get());
    }

    @Test
    void doesNotReloadAtTheStartWithoutASignal() {
        ProcessSignals signals = new ProcessSignals();
        AtomicInteger reloads = new AtomicInteger();
        signals.onStarted(reloads::incrementAndGet);
        assertEquals(0, reloads.get());
    }

    @Test
    void logsSignalsThatArrivedBeforeTheLogWasOpen() throws Exception {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        ProcessSignals signals = new ProcessSignals();
        signals.logSignal("HUP");
        try (DecisionLog log = new DecisionLog("n", "entry", new SystemClock(), output)) {
            signals.logTo(log);
            signals.logSignal("TERM");
        }
        assertEquals(3, output.toString().split("\"event\":\"signal\"", -1).length);
    }
}
