package org.elmline.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.xnio.XnioExecutor;

/** An executor for tests: runs immediate commands at once, and delayed ones when the test calls {@link #runLater}. */
final class ManualThread implements XnioExecutor {
    private final List<Runnable> delayed = new ArrayList<>();
    private final List<Long> delays = new ArrayList<>();

    /** Runs all delayed commands that are scheduled at present. */
    void runLater() {
        List<Runnable> due = List.copyOf(delayed);
        delayed.clear();
        due.forEach(Runnable::run);
    }

    /** Delays of all commands scheduled so far, in milliseconds and in order, cancelled ones included. */
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
        throw new UnsupportedOperationException("executeAtInterval is not supported");
    }
}
