package org.elmline.daemon.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.elmline.daemon.log.DecisionLog;

/**
 * Handles the signals of a process: TERM and INT stop it, HUP reloads its settings. Signals that arrive while the process
 * starts take effect once it has started. Thread-safe.
 */
public final class ProcessSignals {
    /** Time for a start to end after a signal to stop; a start that waits for its disk may never end. */
    private static final long START_TIMEOUT_MILLIS = 5_000;

    /** Exit code of a process that TERM ends: 128 and the signal's number. */
    private static final int TERMINATED_EXIT_CODE = 143;

    private final CountDownLatch stopSignal = new CountDownLatch(1);
    private final CountDownLatch started = new CountDownLatch(1);
    private final List<String> unlogged = new ArrayList<>();
    private DecisionLog log;
    private Runnable onReload;
    private boolean reloadPending;

    ProcessSignals() {}

    /**
     * Installs the handlers in place of the runtime's, which end the process without a stop. To be called before
     * anything is started.
     */
    public static ProcessSignals install() {
        ProcessSignals signals = new ProcessSignals();
        onSignal("TERM", () -> {
            signals.logSignal("TERM");
            signals.stop();
        });
        onSignal("INT", signals::stop);
        // Without a handler HUP would end the process, although it only announces that the settings may have changed.
        onSignal("HUP", () -> {
            signals.logSignal("HUP");
            signals.reload();
        });
        return signals;
    }

    /** Uses sun.misc.Signal of module jdk.unsupported, as the runtime has no supported interface to signals. */
    private static void onSignal(String name, Runnable action) {
        sun.misc.Signal.handle(new sun.misc.Signal(name), signal -> action.run());
    }

    /** Logs signals from now on, and those that arrived earlier. */
    public synchronized void logTo(DecisionLog target) {
        log = target;
        unlogged.forEach(this::logSignal);
        unlogged.clear();
    }

    synchronized void logSignal(String name) {
        if (log == null) {
            unlogged.add(name);
        } else {
            log.line("signal").with("name", name).write();
        }
    }

    /**
     * To be called once the process has started.
     *
     * @param reload run on HUP, when the settings file may have changed; at once if HUP has arrived already
     */
    public void onStarted(Runnable reload) {
        boolean isDue;
        synchronized (this) {
            onReload = reload;
            isDue = reloadPending;
        }
        started.countDown();
        if (isDue) {
            reload.run();
        }
    }

    void reload() {
        Runnable reload;
        synchronized (this) {
            reload = onReload;
            reloadPending = reload == null;
        }
        if (reload != null) {
            reload.run();
        }
    }

    /** Runs on a thread of its own, as the runtime starts one for each signal. */
    private void stop() {
        stopSignal.countDown();
        try {
            if (!started.await(START_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                Runtime.getRuntime().halt(TERMINATED_EXIT_CODE);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Blocks until a signal to stop arrives. */
    public void awaitStop() throws InterruptedException {
        stopSignal.await();
    }
}
