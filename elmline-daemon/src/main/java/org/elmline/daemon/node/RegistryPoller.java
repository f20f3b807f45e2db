package org.elmline.daemon.node;

import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.HostId;
import org.elmline.core.evacuation.EvacuationProgress;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.registry.EntryRecord;
import org.elmline.core.registry.FollowAnswer;
import org.elmline.core.registry.FollowRequest;
import org.elmline.core.registry.RegistryChannels;
import org.jboss.logging.Logger;

/**
 * Polls one control host for registry updates and polls again as soon as it has answered. Each poll reports up to which
 * update the previous ones have arrived, so that the control host can determine when a change has reached all entries.
 * Safe for use by several threads.
 */
public final class RegistryPoller implements AutoCloseable {
    /** Time allowed for an answer beyond the hold time: twice the longest time that a running host takes. */
    private static final long ANSWER_MARGIN_MILLIS = 600;

    /**
     * Timeout of polls that follow a failed one. A control host that has just started takes long for its first answers
     * to all entries; with a shorter timeout each entry would open its connection again and load the host with
     * handshakes.
     */
    private static final Duration TIMEOUT_AFTER_FAILURE = Duration.ofMillis(2_500);

    private static final long INITIAL_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 400;

    /**
     * Longest backoff of an entry without a routing table, which cannot serve any call. After a power loss entries
     * start before the first control host and should connect to it as soon as it is up.
     */
    private static final long MAX_BACKOFF_WITHOUT_ROUTING_MILLIS = 120;

    private final PeerNetwork network;
    private final Address controlHost;
    private final HostId host;
    private final Supplier<EntryRecord> entryRecord;
    private final LongSupplier newestRoutingVersion;
    private final LongSupplier pollHoldMillis;
    private final BooleanSupplier heldEntryChanges;
    private final Supplier<EvacuationProgress> evacuationProgress;
    private final Consumer<FollowAnswer> answerListener;
    private final Executor executor;
    private final ScheduledExecutorService timer;
    private long epoch;
    private long serversSeen;
    private long entriesSeen;
    private long quarantineSeen;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private int consecutiveFailures;
    private volatile boolean closed;

    /**
     * @param entryRecord supplies this entry's own record, null on a control host
     * @param newestRoutingVersion supplies the newest known version of the routing table, negative if none is known
     * @param pollHoldMillis supplies the time in milliseconds for which the control host holds a poll while it has no
     *     updates
     * @param heldEntryChanges supplies whether changes of entries may wait for the end of the hold
     * @param evacuationProgress supplies what this process reports on evacuations
     * @param answerListener receives each answer, on the thread that completes calls
     * @param executor runs the polls that follow a failed one, whose answer may be there before the poll returns
     */
    public RegistryPoller(
            PeerNetwork network,
            Address controlHost,
            HostId host,
            Supplier<EntryRecord> entryRecord,
            LongSupplier newestRoutingVersion,
            LongSupplier pollHoldMillis,
            BooleanSupplier heldEntryChanges,
            Supplier<EvacuationProgress> evacuationProgress,
            Consumer<FollowAnswer> answerListener,
            Executor executor,
            ScheduledExecutorService timer) {
        this.network = network;
        this.controlHost = controlHost;
        this.host = host;
        this.entryRecord = entryRecord;
        this.newestRoutingVersion = newestRoutingVersion;
        this.pollHoldMillis = pollHoldMillis;
        this.heldEntryChanges = heldEntryChanges;
        this.evacuationProgress = evacuationProgress;
        this.answerListener = answerListener;
        this.executor = executor;
        this.timer = timer;
    }

    /** The polled control host. */
    public Address controlHost() {
        return controlHost;
    }

    /** Number of polls that failed since the last answer. */
    public synchronized int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Starts polling. */
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
        EvacuationProgress evacuations = evacuationProgress.get();
        synchronized (this) {
            request = new FollowRequest(
                    host,
                    entryRecord.get(),
                    epoch,
                    serversSeen,
                    entriesSeen,
                    newestRoutingVersion.getAsLong(),
                    FollowRequest.FORM_PACKED_UPDATES,
                    holdMillis,
                    heldEntryChanges.getAsBoolean(),
                    quarantineSeen,
                    evacuations.seen(),
                    evacuations.calls());
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
            backoffMillis = INITIAL_BACKOFF_MILLIS;
            consecutiveFailures = 0;
        }
        if (apply(answer)) {
            acknowledge(answer);
            poll();
        } else {
            schedulePoll(MAX_BACKOFF_MILLIS);
        }
    }

    /** Lets the next poll state that an answer is applied; one that is not is sent again. */
    private synchronized void acknowledge(FollowAnswer answer) {
        epoch = answer.epoch();
        serversSeen = answer.serversNow();
        entriesSeen = answer.entriesNow();
        quarantineSeen = answer.quarantine() == null
                ? quarantineSeen
                : answer.quarantine().number();
    }

    /** Returns false when the listener failed; this process must go on following the control host. */
    private boolean apply(FollowAnswer answer) {
        try {
            answerListener.accept(answer);
            return true;
        } catch (RuntimeException e) {
            Logger.getLogger(RegistryPoller.class).errorf(e, "answer of control host %s not applied", controlHost);
            return false;
        }
    }

    /** Exponential backoff with jitter, so that not all entries poll a restarted host at the same moment. */
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
            timer.schedule(() -> executor.execute(this::poll), millis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The timer was shut down because the process is stopping; no more updates are needed.
            closed = true;
        }
    }

    @Override
    public void close() {
        closed = true;
    }
}
