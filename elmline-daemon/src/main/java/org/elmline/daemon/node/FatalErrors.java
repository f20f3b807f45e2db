package org.elmline.daemon.node;

import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.log.LibraryLogHandler;
import org.xnio.XnioIoThread;

/**
 * Ends the process after an error that leaves it unable to serve, so that it is started again. Without this, a process
 * whose I/O thread has ended would keep running and keep its ports open, and would not answer. Safe for use by many
 * threads.
 */
public final class FatalErrors implements Thread.UncaughtExceptionHandler {
    private final DecisionLog log;
    private final Thread mainThread;
    private final Runnable endProcess;

    /**
     * @param mainThread the thread that starts and stops the process
     * @param endProcess ends the process with the exit code of a failure
     */
    FatalErrors(DecisionLog log, Thread mainThread, Runnable endProcess) {
        this.log = log;
        this.mainThread = mainThread;
        this.endProcess = endProcess;
    }

    /**
     * Handles errors that end a thread of this process, and those that a library catches and logs. To be called by the
     * main thread, after the installation of {@link LibraryLogHandler}.
     *
     * @param endProcess ends the process with the exit code of a failure
     */
    public static void install(DecisionLog log, Runnable endProcess) {
        FatalErrors errors = new FatalErrors(log, Thread.currentThread(), endProcess);
        Thread.setDefaultUncaughtExceptionHandler(errors);
        LibraryLogHandler.onThrown(errors::onCaughtByLibrary);
    }

    /** Ends the process if it needs the thread; other threads are replaced by their executors. */
    @Override
    public void uncaughtException(Thread thread, Throwable thrown) {
        boolean required = thread == mainThread || thread instanceof XnioIoThread;
        handle(thread, thrown, required || thrown instanceof Error);
    }

    /**
     * Ends the process if what a library has caught is an error. The HTTP server's I/O thread goes on after one, but what
     * the error interrupted is not resumed: a periodic task is not scheduled again, and a read is not continued. A stack
     * overflow is left to the library, as one unusual input causes it and would end each process that reads it.
     */
    void onCaughtByLibrary(Throwable thrown) {
        if (thrown instanceof Error && !(thrown instanceof StackOverflowError)) {
            handle(Thread.currentThread(), thrown, true);
        }
    }

    /** Ends the process even if the failure cannot be written, for which there may be no memory. */
    private void handle(Thread thread, Throwable thrown, boolean fatal) {
        try {
            log.line(fatal ? "fatal error" : "thread failed")
                    .with("thread", thread.getName())
                    .with("why", thrown)
                    .write();
            thrown.printStackTrace();
        } finally {
            if (fatal) {
                endProcess.run();
            }
        }
    }
}
