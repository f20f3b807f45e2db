package org.elmline.daemon.node;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.HostId;
import org.elmline.core.peer.Channel;
import org.elmline.core.peer.PeerNetwork;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** How soon a control host that does not answer is asked again. */
class FollowLoopTest {
    private static final int POLLS = 12;

    private final RecordingTimer timer = new RecordingTimer();

    /** Keeps what is to be run and after how long; runs nothing by itself. */
    private static final class RecordingTimer extends ScheduledThreadPoolExecutor {
        private final List<Long> delaysMillis = new ArrayList<>();
        private final Deque<Runnable> tasks = new ArrayDeque<>();

        RecordingTimer() {
            super(1);
        }

        @Override
        public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
            delaysMillis.add(unit.toMillis(delay));
            tasks.add(task);
            return null;
        }
    }

    private static final class UnreachableNetwork implements PeerNetwork {
        @Override
        public <Q, R> CompletableFuture<CallResult<R>> call(
                Address to, Channel<Q, R> channel, Q request, Duration timeout) {
            return CompletableFuture.completedFuture(new CallResult.NotSent<>("refused"));
        }
    }

    @AfterEach
    void stop() {
        timer.shutdownNow();
    }

    /** The pause before each poll after the first, as it has grown by the last of many that failed. */
    private long lastDelayMillis(long routingVersion) {
        RegistryPoller poller = new RegistryPoller(
                new UnreachableNetwork(),
                new Address("10.0.0.9", 7000),
                HostId.of("10.0.0.1"),
                () -> null,
                () -> routingVersion,
                () -> 500,
                answer -> {},
                timer);
        poller.start();
        for (int i = 0; i < POLLS; i++) {
            timer.tasks.remove().run();
        }
        poller.close();
        return timer.delaysMillis.get(timer.delaysMillis.size() - 1);
    }

    /**
     * Callers are turned away for some tenths of a second more than they need to be: all power was lost, the entries are up
     * first, and each finds the control hosts only when its next poll comes. Without a table it polls more often.
     */
    @Test
    void entryWithoutRoutingTablePollsOften() {
        long delayMillis = lastDelayMillis(-1);
        assertTrue(delayMillis <= 180, delayMillis + " ms");
    }

    /** A control host that stays away is not kept busy, nor the entries, once those have a table. */
    @Test
    void entryWithRoutingTablePollsSeldom() {
        long delayMillis = lastDelayMillis(7);
        assertTrue(delayMillis >= 200 && delayMillis <= 600, delayMillis + " ms");
    }
}
