package org.elmline.daemon.node;

import java.util.concurrent.CountDownLatch;

import org.elmline.daemon.log.DecisionLog;

/** Handles the signals of a process: TERM and INT stop it, HUP reloads its settings. */
public final class ProcessSignals {
    private final CountDownLatch stopSignal = new CountDownLatch(1);

    /**
     * Installs the handlers in place of the runtime's.
     *
     * @param onReload run on HUP, when the settings file may have changed
     */
    public ProcessSignals(DecisionLog log, Runnable onReload) {
        onSignal("TERM", () -> {
            log.line("signal").with("name", "TERM").write();
            stopSignal.countDown();
        });
        onSignal("INT", stopSignal::countDown);
        // Without a handler HUP would end the process, although it only announces that the settings may have changed.
        onSignal("HUP", () -> {
            log.line("signal").with("name", "HUP").write();
            onReload.run();
        });
    }

    /** Uses sun.misc.Signal of module jdk.unsupported, as the runtime has no supported interface to signals. */
    private static void onSignal(String name, Runnable action) {
        sun.misc.Signal.handle(new sun.misc.Signal(name), signal -> action.run());
    }

    /** Blocks until a signal to stop arrives. */
    public void awaitStop() throws InterruptedException {
        stopSignal.await();
    }
}
