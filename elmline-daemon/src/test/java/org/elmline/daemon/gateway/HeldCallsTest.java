package org.elmline.daemon.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.xnio.XnioExecutor;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Which of the held calls are retried. */
class HeldCallsTest {
    /** Runs commands when the test says so, like a thread that is busy with other ones. */
    private static final class QueuingThread implements XnioExecutor {
        private final Queue<Runnable> commands = new ArrayDeque<>();

        void runAll() {
            while (!commands.isEmpty()) {
                commands.poll().run();
            }
        }

        @Override
        public void execute(Runnable command) {
            commands.add(command);
        }

        @Override
        public Key executeAfter(Runnable command, long time, TimeUnit unit) {
            return () -> false;
        }

        @Override
        public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
            throw new UnsupportedOperationException("executeAtInterval is not supported");
        }
    }

    /** Guards against a retry of a call that has ended: it could take the trial of its prompt and make none. */
    @Test
    void callThatEndsBeforeItsRetryIsNotRetried() {
        QueuingThread thread = new QueuingThread();
        HeldCalls held = new HeldCalls(thread);
        List<String> retried = new ArrayList<>();
        held.add("ended", () -> retried.add("ended"));
        held.add("open", () -> retried.add("open"));
        held.retryAll();
        held.remove("ended");
        thread.runAll();
        assertEquals(List.of("open"), retried);
    }
}
