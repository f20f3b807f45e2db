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
import org.elmline.core.evacuation.EvacuationProgress;
import org.elmline.core.peer.Channel;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.registry.FollowAnswer;
import org.elmline.core.registry.FollowRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Backoff between polls of a control host that does not answer. */
class RegistryPollerTest {
    private static final int POLLS = 12;

    private final RecordingTimer timer = new RecordingTimer();

    /** Records tasks and their delays; runs nothing by itself. */
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
        public <Q> boolean send(Address to, Channel<Q, ?> channel, Q message) {
            throw new UnsupportedOperationException("only calls are expected");
        }

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

    /** The delay before the last of many failed polls, when the backoff has reached its maximum. */
    private long lastDelayMillis(long routingVersion) {
        RegistryPoller poller = new RegistryPoller(
                new UnreachableNetwork(),
                new Address("10.0.0.9", 7000),
                HostId.of("10.0.0.1"),
                () -> null,
                () -> routingVersion,
                () -> 500,
                () -> false,
                () -> EvacuationProgress.NOT_FOLLOWED,
                answer -> {},
                Runnable::run,
                timer);
        poller.start();
        for (int i = 0; i < POLLS; i++) {
            timer.tasks.remove().run();
        }
        poller.close();
        return timer.delaysMillis.get(timer.delaysMillis.size() - 1);
    }

    /**
     * Guards against a slow start after a power loss: entries are up first and find the control hosts only at their
     * next poll, so that calls are rejected some tenths of a second longer than needed. Without a routing table an
     * entry polls more often.
     */
    @Test
    void entryWithoutRoutingTablePollsOften() {
        long delayMillis = lastDelayMillis(-1);
        assertTrue(delayMillis <= 180, delayMillis + " ms");
    }

    /**
     * Once an entry has a routing table, polls of an unreachable control host must not load the control host or the
     * entry.
     */
    @Test
    void entryWithRoutingTablePollsSeldom() {
        long delayMillis = lastDelayMillis(7);
        assertTrue(delayMillis >= 200 && delayMillis <= 600, delayMillis + " ms");
    }

    /** Answers each poll at once. */
    private static final class AnsweringNetwork implements PeerNetwork {
        private int polls;

        @Override
        public <Q> boolean send(Address to, Channel<Q, ?> channel, Q message) {
            throw new UnsupportedOperationException("only calls are expected");
        }

        @Override
        public <Q, R> CompletableFuture<CallResult<R>> call(
                Address to, Channel<Q, R> channel, Q request, Duration timeout) {
            polls++;
            FollowAnswer answer = new FollowAnswer(1, 0, null, 0, null, null, null, 0, null, -1, null, null, 0, null);
            return CompletableFuture.completedFuture(
                    new CallResult.Answered<>(channel.response().cast(answer)));
        }
    }

    /** Guards against a process that no longer follows a control host after an answer that it could not apply. */
    @Test
    void pollsAgainAfterAnswerThatCannotBeApplied() {
        AnsweringNetwork network = new AnsweringNetwork();
        RegistryPoller poller = new RegistryPoller(
                network,
                new Address("10.0.0.9", 7000),
                HostId.of("10.0.0.1"),
                () -> null,
                () -> 7,
                () -> 500,
                () -> false,
                () -> EvacuationProgress.NOT_FOLLOWED,
                answer -> {
                    throw new ArithmeticException("unusable answer");
                },
                Runnable::run,
                timer);
        poller.start();
        assertEquals(1, network.polls);
        for (int i = 0; i < POLLS; i++) {
            timer.tasks.remove().run();
        }
        poller.close();
        assertEquals(1 + POLLS, network.polls);
        assertEquals(0, poller.consecutiveFailures());
    }

    /** Answers each poll at once, and records the numbers up to which the poll acknowledges changes of servers. */
    private static final class RecordingNetwork implements PeerNetwork {
        private final List<Long> serversSeen = new ArrayList<>();

        @Override
        public <Q> boolean send(Address to, Channel<Q, ?> channel, Q message) {
            throw new UnsupportedOperationException("only calls are expected");
        }

        @Override
        public <Q, R> CompletableFuture<CallResult<R>> call(
                Address to, Channel<Q, R> channel, Q request, Duration timeout) {
            serversSeen.add(((FollowRequest) request).serversSeen());
            if (serversSeen.size() > 2) {
                return CompletableFuture.completedFuture(new CallResult.NotSent<>("refused"));
            }
            FollowAnswer answer = new FollowAnswer(1, 0, null, 5, null, null, null, 0, null, -1, null, null, 0, null);
            return CompletableFuture.completedFuture(
                    new CallResult.Answered<>(channel.response().cast(answer)));
        }
    }

    /**
     * Guards against changes that are acknowledged and not applied: they would not be sent again, and a server would
     * take its leave for known to all entries.
     */
    @Test
    void answerThatCannotBeAppliedIsNotAcknowledged() {
        RecordingNetwork network = new RecordingNetwork();
        List<FollowAnswer> received = new ArrayList<>();
        RegistryPoller poller = new RegistryPoller(
                network,
                new Address("10.0.0.9", 7000),
                HostId.of("10.0.0.1"),
                () -> null,
                () -> 7,
                () -> 500,
                () -> false,
                () -> EvacuationProgress.NOT_FOLLOWED,
                answer -> {
                    received.add(answer);
                    if (received.size() == 1) {
                        throw new ArithmeticException("unusable answer");
                    }
                },
                Runnable::run,
                timer);
        poller.start();
        timer.tasks.remove().run();
        poller.close();
        assertEquals(List.of(0L, 0L, 5L), network.serversSeen);
    }

    /** Guards against state of one thread that an answer to a repeated poll changes on the timer's thread. */
    @Test
    void repeatsPollsOnTheExecutor() {
        Deque<Runnable> queued = new ArrayDeque<>();
        RegistryPoller poller = new RegistryPoller(
                new UnreachableNetwork(),
                new Address("10.0.0.9", 7000),
                HostId.of("10.0.0.1"),
                () -> null,
                () -> 7,
                () -> 500,
                () -> false,
                () -> EvacuationProgress.NOT_FOLLOWED,
                answer -> {},
                queued::add,
                timer);
        poller.start();
        timer.tasks.remove().run();
        assertEquals(1, poller.consecutiveFailures());
        queued.remove().run();
        assertEquals(2, poller.consecutiveFailures());
        poller.close();
    }
}
