package org.elmline.daemon.runtime;

import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;

/**
 * Runs delayed and periodic tasks. An error of a task, which the runtime would only keep in the task's future, is passed
 * to the handler of uncaught exceptions: a periodic task does not run again after it. Thread-safe.
 */
public final class TaskTimer extends ScheduledThreadPoolExecutor {
    public TaskTimer(int threads, ThreadFactory threadFactory) {
        super(threads, threadFactory);
    }

    @Override
    protected void afterExecute(Runnable task, Throwable thrown) {
        super.afterExecute(task, thrown);
        if (task instanceof Future<?> future && future.isDone() && !future.isCancelled()) {
            report(future);
        }
    }

    private static void report(Future<?> done) {
        try {
            done.get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof Error error) {
                Thread thread = Thread.currentThread();
                thread.getUncaughtExceptionHandler().uncaughtException(thread, error);
            }
        } catch (CancellationException e) {
            // The task was cancelled as it ended.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
