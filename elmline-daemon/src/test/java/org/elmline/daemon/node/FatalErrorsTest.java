package org.elmline.daemon.node;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.runtime.SystemClock;
import org.elmline.daemon.runtime.TaskTimer;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a process that keeps running without answering, and against one that ends for a single input. */
class FatalErrorsTest {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final DecisionLog log = new DecisionLog("h", "entry", new SystemClock(), bytes);
    private final AtomicInteger ends = new AtomicInteger();
    private final Thread main = new Thread("main");
    private final FatalErrors errors = new FatalErrors(log, main, ends::incrementAndGet);

    private String logText() {
        log.close();
        return bytes.toString(StandardCharsets.UTF_8);
    }

    @Test
    void errorThatEndsAThreadEndsTheProcess() {
        errors.uncaughtException(new Thread("raft-1"), new OutOfMemoryError("heap"));
        assertEquals(1, ends.get());
        String text = logText();
        assertTrue(text.contains("\"event\":\"fatal error\",\"thread\":\"raft-1\""), text);
        assertTrue(text.contains("java.lang.OutOfMemoryError: heap"), text);
    }

    @Test
    void exceptionThatEndsTheMainThreadEndsTheProcess() {
        errors.uncaughtException(main, new IllegalStateException("no port"));
        assertEquals(1, ends.get());
    }

    @Test
    void exceptionThatEndsAThreadOfAnExecutorIsLoggedOnly() {
        errors.uncaughtException(new Thread("handler-1"), new IllegalStateException("one task"));
        assertEquals(0, ends.get());
        assertTrue(logText().contains("\"event\":\"thread failed\""));
    }

    @Test
    void errorCaughtByALibraryEndsTheProcess() {
        errors.onCaughtByLibrary(new NoClassDefFoundError("a/B"));
        assertEquals(1, ends.get());
    }

    /** An input that is nested too deeply would end one process after the other. */
    @Test
    void stackOverflowOrExceptionCaughtByALibraryDoesNotEndTheProcess() {
        errors.onCaughtByLibrary(new StackOverflowError());
        errors.onCaughtByLibrary(new IllegalStateException("one call"));
        assertEquals(0, ends.get());
    }

    /** The failure's text may need memory that is not there. */
    @Test
    void processEndsAlthoughTheFailureCannotBeWritten() {
        Error unwritable = new Error() {
            @Override
            public String toString() {
                throw new OutOfMemoryError("text");
            }
        };
        assertThrows(OutOfMemoryError.class, () -> errors.uncaughtException(main, unwritable));
        assertEquals(1, ends.get());
    }

    /** The runtime's timer would keep the error in the task's future and never run the task again. */
    @Test
    void errorOfAPeriodicTaskReachesTheHandler() throws InterruptedException {
        CountDownLatch handled = new CountDownLatch(1);
        TaskTimer timer = new TaskTimer(1, task -> {
            Thread thread = new Thread(task, "timer-1");
            thread.setUncaughtExceptionHandler((failed, thrown) -> {
                errors.uncaughtException(failed, thrown);
                handled.countDown();
            });
            return thread;
        });
        timer.scheduleWithFixedDelay(
                () -> {
                    throw new InternalError("task");
                },
                0,
                1,
                TimeUnit.MILLISECONDS);
        assertTrue(handled.await(10, TimeUnit.SECONDS), "the error was not reported");
        timer.shutdownNow();
        assertEquals(1, ends.get());
    }
}
