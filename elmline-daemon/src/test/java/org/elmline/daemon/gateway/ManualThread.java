package org.elmline.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.xnio.XnioExecutor;

/** Runs what is to be run at once, and keeps what is to be run later until the test runs it. */
final class ManualThread implements XnioExecutor {
    private final List<Runnable> delayed = new ArrayList<>();
    private final List<Long> delays = new ArrayList<>();

    /** Runs all that was left for later up to now. */
    void runLater() {
        List<Runnable> due = List.copyOf(delayed);
        delayed.clear();
        due.forEach(Runnable::run);
    }

    /** Milliseconds after which each command was to be run, in order, those that were taken back included. */
    List<Long> delays() {
        return delays;
    }

    @Override
    public void execute(Runnable command) {
        command.run();
    }

    @Override
    public Key executeAfter(Runnable command, long time, TimeUnit unit) {
        delayed.add(command);
        delays.add(unit.toMillis(time));
        return () -> delayed.remove(command);
    }

    @Override
    public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
        throw new UnsupportedOperationException("nothing is repeated here");
    }
}
