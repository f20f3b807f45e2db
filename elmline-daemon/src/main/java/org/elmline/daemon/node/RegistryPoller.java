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
public final class RegistryPoller implements AutoCloseable {
    /** Time beyond the hold: twice as long as a running host takes for an answer at worst. */
    private static final long ANSWER_MARGIN_MILLIS = 600;

    /**
     * For the first poll after one that failed. A control host that has just started takes its time for first answers
     * to everybody; given up sooner, each entry would open its connection anew and keep the host busy with handshakes.
     */
    private static final Duration TIMEOUT_AFTER_FAILURE = Duration.ofMillis(2_500);

    private static final long INITIAL_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 400;

    /**
     * The same for an entry that has no routing table and so can serve nobody. After a loss of all power entries are up
     * before the first control host, which they should find at once.
     */
    private static final long MAX_BACKOFF_WITHOUT_ROUTING_MILLIS = 120;

    private final PeerNetwork network;
    private final Address controlHost;
    private final HostId host;
    private final Supplier<EntryRecord> entryRecord;
    private final LongSupplier newestRoutingVersion;
    private final LongSupplier pollHoldMillis;
    private final Consumer<FollowAnswer> answerListener;
    private final ScheduledExecutorService timer;
    private long epoch;
    private long serversSeen;
    private long entriesSeen;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private int consecutiveFailures;
    private volatile boolean closed;

    /**
     * @param entryRecord the asking entry's record; gives null on a control host
     * @param newestRoutingVersion newest version of the routing table that is known of
     * @param pollHoldMillis milliseconds for which a poll without news is to be held
     * @param answerListener takes each answer, on the thread on which calls complete
     */
    public RegistryPoller(
            PeerNetwork network,
            Address controlHost,
            HostId host,
            Supplier<EntryRecord> entryRecord,
            LongSupplier newestRoutingVersion,
            LongSupplier pollHoldMillis,
            Consumer<FollowAnswer> answerListener,
            ScheduledExecutorService timer) {
        this.network = network;
        this.controlHost = controlHost;
        this.host = host;
        this.entryRecord = entryRecord;
        this.newestRoutingVersion = newestRoutingVersion;
        this.pollHoldMillis = pollHoldMillis;
        this.answerListener = answerListener;
        this.timer = timer;
    }

    /** The control host that is followed. */
    public Address controlHost() {
        return controlHost;
    }

    /** Polls that failed since the last answer. */
    public synchronized int consecutiveFailures() {
        return consecutiveFailures;
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
        long holdMillis = pollHoldMillis.getAsLong();
        synchronized (this) {
            request = new FollowRequest(
                    host,
                    entryRecord.get(),
                    epoch,
                    serversSeen,
                    entriesSeen,
                    newestRoutingVersion.getAsLong(),
                    FollowRequest.FORM_PACKED_UPDATES,
                    holdMillis);
            timeout = consecutiveFailures == 0
                    ? Duration.ofMillis(holdMillis + ANSWER_MARGIN_MILLIS)
                    : TIMEOUT_AFTER_FAILURE;
        }
        network.call(controlHost, RegistryChannels.FOLLOW, request, timeout).thenAccept(this::onResult);
    }

    private void onResult(CallResult<FollowAnswer> result) {
        if (closed) {
            return;
        }
        if (!(result instanceof CallResult.Answered<FollowAnswer> answered)) {
            schedulePoll(nextBackoffMillis());
            return;
        }
        FollowAnswer answer = answered.value();
        synchronized (this) {
            epoch = answer.epoch();
            serversSeen = answer.serversNow();
            entriesSeen = answer.entriesNow();
            backoffMillis = INITIAL_BACKOFF_MILLIS;
            consecutiveFailures = 0;
        }
        answerListener.accept(answer);
        poll();
    }

    /** A growing pause with a random part, so that all entries do not come back to a restarted host at once. */
    private synchronized long nextBackoffMillis() {
        consecutiveFailures++;
        long base = backoffMillis;
        boolean withoutRouting = newestRoutingVersion.getAsLong() < 0;
        backoffMillis =
                Math.min(withoutRouting ? MAX_BACKOFF_WITHOUT_ROUTING_MILLIS : MAX_BACKOFF_MILLIS, 2 * backoffMillis);
        return base / 2 + ThreadLocalRandom.current().nextLong(base);
    }

    private void schedulePoll(long millis) {
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
