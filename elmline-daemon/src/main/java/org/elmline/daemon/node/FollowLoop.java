package org.elmline.daemon.node;

import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.HostId;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.registry.EntryRecord;
import org.elmline.core.registry.FollowAnswer;
import org.elmline.core.registry.FollowRequest;
import org.elmline.core.registry.RegistryChannels;

/**
 * Polls one control host for news, again as soon as it has answered. The next poll tells how much of the news has
 * arrived, so that the control host knows when a change has reached everybody.
 */
public final class FollowLoop implements AutoCloseable {
    /** Time beyond the hold: twice as long as a running host takes for an answer at worst. */
    private static final long ANSWER_MILLIS = 600;

    /**
     * For the first poll after one that failed. A control host that has just started takes its time for first answers
     * to everybody; given up sooner, each entry would open its connection anew and keep the host busy with handshakes.
     */
    private static final Duration PATIENT_TIMEOUT = Duration.ofMillis(2_500);

    private static final long FIRST_PAUSE_MILLIS = 50;
    private static final long LONGEST_PAUSE_MILLIS = 400;

    /**
     * The same for an entry that has no routing table and so can serve nobody. After a loss of all power entries are up
     * before the first control host, which they should find at once.
     */
    private static final long LONGEST_EAGER_PAUSE_MILLIS = 120;

    private final PeerNetwork network;
    private final Address control;
    private final HostId host;
    private final Supplier<EntryRecord> entry;
    private final LongSupplier routingKnown;
    private final LongSupplier hold;
    private final Consumer<FollowAnswer> answers;
    private final ScheduledExecutorService timer;
    private long epoch;
    private long serversSeen;
    private long entriesSeen;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private int failures;
    private volatile boolean closed;

    /**
     * @param entry the asking entry's record; gives null on a control host
     * @param routingKnown newest version of the routing table that is known of
     * @param hold milliseconds for which a poll without news is to be held
     * @param answers takes each answer, on the thread on which calls complete
     */
    public FollowLoop(
            PeerNetwork network,
            Address control,
            HostId host,
            Supplier<EntryRecord> entry,
            LongSupplier routingKnown,
            LongSupplier hold,
            Consumer<FollowAnswer> answers,
            ScheduledExecutorService timer) {
        this.network = network;
        this.control = control;
        this.host = host;
        this.entry = entry;
        this.routingKnown = routingKnown;
        this.hold = hold;
        this.answers = answers;
        this.timer = timer;
    }

    /** The control host that is followed. */
    public Address control() {
        return control;
    }

    /** Polls that failed since the last answer. */
    public synchronized int failures() {
        return failures;
    }

    /** Begins to poll. */
    public void start() {
        poll();
    }

    private void poll() {
        if (closed) {
            return;
        }
        FollowRequest request;
        Duration timeout;
        long holdMillis = hold.getAsLong();
        synchronized (this) {
            request = new FollowRequest(
                    host,
                    entry.get(),
                    epoch,
                    serversSeen,
                    entriesSeen,
                    routingKnown.getAsLong(),
                    FollowRequest.FORM_PACKED_UPDATES,
                    holdMillis);
            timeout = failures == 0 ? Duration.ofMillis(holdMillis + ANSWER_MILLIS) : PATIENT_TIMEOUT;
        }
        network.call(control, RegistryChannels.FOLLOW, request, timeout).thenAccept(this::take);
    }

    private void take(CallResult<FollowAnswer> result) {
        if (closed) {
            return;
        }
        if (!(result instanceof CallResult.Answered<FollowAnswer> answered)) {
            again(pause());
            return;
        }
        FollowAnswer answer = answered.value();
        synchronized (this) {
            epoch = answer.epoch();
            serversSeen = answer.serversNow();
            entriesSeen = answer.entriesNow();
            pauseMillis = FIRST_PAUSE_MILLIS;
            failures = 0;
        }
        answers.accept(answer);
        poll();
    }

    /** A growing pause with a random part, so that all entries do not come back to a restarted host at once. */
    private synchronized long pause() {
        failures++;
        long base = pauseMillis;
        boolean eager = routingKnown.getAsLong() < 0;
        pauseMillis = Math.min(eager ? LONGEST_EAGER_PAUSE_MILLIS : LONGEST_PAUSE_MILLIS, 2 * pauseMillis);
        return base / 2 + ThreadLocalRandom.current().nextLong(base);
    }

    private void again(long millis) {
        try {
            timer.schedule(this::poll, millis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The process is stopping, and nobody needs the news.
            closed = true;
        }
    }

    @Override
    public void close() {
        closed = true;
    }
}
