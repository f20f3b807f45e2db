package org.elmline.daemon.node;

import java.util.concurrent.CountDownLatch;

import org.elmline.daemon.log.DecisionLog;

/** The signals of a process that runs until it is told to stop. */
public final class ProcessSignals {
    private final CountDownLatch stopSignal = new CountDownLatch(1);

    /**
     * Takes the signals over.
     *
     * @param onReload run when the settings file may have changed
     */
    public ProcessSignals(DecisionLog log, Runnable onReload) {
        onSignal("TERM", () -> {
            log.line("signal").with("name", "TERM").write();
            stopSignal.countDown();
        });
        onSignal("INT", stopSignal::countDown);
        // Without a handler the runtime ends on this one, which only says that the settings may have changed.
        onSignal("HUP", () -> {
            log.line("signal").with("name", "HUP").write();
            onReload.run();
        });
    }

    /** The runtime has no other interface to signals than this one, of its module for such cases. */
    private static void onSignal(String name, Runnable action) {
        sun.misc.Signal.handle(new sun.misc.Signal(name), signal -> action.run());
    }

    /** Waits for the signal to stop. */
    public void awaitStop() throws InterruptedException {
        stopSignal.await();
    }
}
