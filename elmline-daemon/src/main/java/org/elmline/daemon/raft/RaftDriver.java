package org.elmline.daemon.raft;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.Address;
import org.elmline.core.common.HostId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.peer.HandlerRegistry;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.raft.MembershipChange;
import org.elmline.core.raft.ProposeRefusal;
import org.elmline.core.raft.RaftNode;
import org.elmline.core.raft.RaftSettings;
import org.elmline.core.raft.ReplicaId;
import org.elmline.core.raft.RestoredState;
import org.elmline.storage.DataFolder;
import org.jboss.logging.Logger;

/**
 * One replica of the log, run by one thread behind a bounded queue. Safe for use by many threads; every future
 * completes normally.
 */
public final class RaftDriver implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(RaftDriver.class);
    private static final long CLOSE_SECONDS = 10;

    private final BlockingQueue<RaftInput> queue;
    private final RaftLoop loop;
    private final ExecutorService thread;
    private final DataFolder folder;
    private final Counter droppedMessages;
    private volatile boolean closed;

    private RaftDriver(Builder parts) {
        queue = new ArrayBlockingQueue<>(parts.queueLength);
        folder = parts.folder;
        droppedMessages = parts.metrics.counter("raft.messages.dropped");
        RestoredState restored = parts.restored;
        if (restored.snapshot() != null) {
            parts.machine.restore(restored.snapshot().data());
        }
        RaftNode node = new RaftNode(folder.identity(), parts.settings, restored, parts.random, parts.clock.nanos());
        RaftMessageSender sender =
                new RaftMessageSender(parts.network, parts.addresses, parts.settings.electionTimeout(), parts.metrics);
        loop = new RaftLoop(parts, node, queue, sender);
        register(parts.handlers);
        thread = Executors.newSingleThreadExecutor(task -> new Thread(task, "raft-" + folder.identity()));
        thread.execute(loop);
    }

    private void register(HandlerRegistry handlers) {
        handlers.register(RaftChannels.MESSAGES, request -> {
            request.messages().forEach(each -> enqueue(new RaftInput.MessageReceived(each)));
            return CompletableFuture.completedFuture(new RaftChannels.Acknowledged());
        });
        handlers.register(RaftChannels.JOIN, request -> {
            enqueue(new RaftInput.Join(request.replica()));
            RaftStatus now = status();
            return CompletableFuture.completedFuture(new RaftChannels.JoinAnswer(now.leader(), now.membership()));
        });
        handlers.register(RaftChannels.STATUS, request -> CompletableFuture.completedFuture(status()));
    }

    /** A message that finds the queue full counts as lost. */
    private void enqueue(RaftInput input) {
        if (!queue.offer(input)) {
            droppedMessages.inc();
        }
    }

    /** Proposes a command; completes when it is applied here or known not to be decided here. */
    public CompletableFuture<ProposeResult> propose(byte[] command) {
        CompletableFuture<ProposeResult> done = new CompletableFuture<>();
        return submit(new RaftInput.Propose(command, done), done);
    }

    /** Adds a replica that receives the log and decides nothing. */
    public CompletableFuture<ProposeResult> addLearner(ReplicaId replica) {
        return change(new MembershipChange.AddLearner(replica));
    }

    /** Makes a learner that has caught up a voter. */
    public CompletableFuture<ProposeResult> promote(ReplicaId replica) {
        return change(new MembershipChange.Promote(replica));
    }

    public CompletableFuture<ProposeResult> remove(ReplicaId replica) {
        return change(new MembershipChange.Remove(replica));
    }

    private CompletableFuture<ProposeResult> change(MembershipChange change) {
        CompletableFuture<ProposeResult> done = new CompletableFuture<>();
        return submit(new RaftInput.ChangeMembership(change, done), done);
    }

    private CompletableFuture<ProposeResult> submit(RaftInput input, CompletableFuture<ProposeResult> done) {
        if (closed) {
            done.complete(new ProposeResult.Refused(ProposeRefusal.CLOSED));
        } else if (!queue.offer(input)) {
            done.complete(new ProposeResult.Refused(ProposeRefusal.QUEUE_FULL));
        } else if (closed) {
            // The loop may have ended before it could see this input.
            done.completeOnTimeout(new ProposeResult.Unknown("closing"), CLOSE_SECONDS, TimeUnit.SECONDS);
        }
        return done;
    }

    /** Completes when the state machine here holds all that is committed now. */
    public CompletableFuture<ReadResult> readIndex() {
        CompletableFuture<ReadResult> done = new CompletableFuture<>();
        if (closed || !queue.offer(new RaftInput.Read(done))) {
            done.complete(new ReadResult.NotReady());
        }
        return done;
    }

    /**
     * Hands leadership to the voter that holds most of the log. Completes with true once this replica leads no more,
     * which takes about a lease, and with false when there is nobody to hand over to; a planned stop waits for it.
     */
    public CompletableFuture<Boolean> transferLeadership() {
        return transferLeadership(null);
    }

    /** Hands leadership to a voter, null for the one that holds most of the log. */
    public CompletableFuture<Boolean> transferLeadership(ReplicaId target) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        if (closed || !queue.offer(new RaftInput.TransferLeadership(target, done))) {
            done.complete(false);
        }
        return done;
    }

    public RaftStatus status() {
        return loop.status();
    }

    public boolean isLeader() {
        return status().leads();
    }

    /** Null when none is known. */
    public ReplicaId leader() {
        return status().leader();
    }

    /** See {@link RaftNode#leaseUntilNanos()}; to be compared with the clock just before acting. */
    public long leaseUntilNanos() {
        return status().leaseUntilNanos();
    }

    /** Stops the thread, answers everyone who waits and closes the data folder. */
    @Override
    public void close() {
        closed = true;
        loop.stop();
        thread.shutdown();
        try {
            if (!thread.awaitTermination(CLOSE_SECONDS, TimeUnit.SECONDS)) {
                LOG.warnf("replica %s does not end", folder.identity());
                return;
            }
            folder.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (java.io.IOException e) {
            LOG.warnf("data folder of %s not closed in order: %s", folder.identity(), e);
        }
    }

    public static Builder builder() {
        return new Builder();
    }

    /** Gathers the parts of a replica. */
    public static final class Builder {
        private static final int QUEUE_LENGTH = 16_384;
        private static final int SNAPSHOT_ENTRIES = 4_096;
        private static final long SNAPSHOT_BYTES = 8L * 1024 * 1024;

        DataFolder folder;
        RestoredState restored;
        StateMachine machine;
        PeerNetwork network;
        HandlerRegistry handlers;
        MonotonicClock clock;
        MetricRegistry metrics = new MetricRegistry();
        RandomGenerator random = new SplittableRandom();
        RaftSettings settings = RaftSettings.builder().build();
        Function<HostId, Address> addresses;
        Supplier<List<Address>> joinAddresses = List::of;
        Duration voterLostTimeout;
        Runnable onFailure = () -> {};
        int queueLength = QUEUE_LENGTH;
        int snapshotEntries = SNAPSHOT_ENTRIES;
        long snapshotBytes = SNAPSHOT_BYTES;

        private Builder() {}

        /** The opened folder, whose identity this replica has, and what it held; the driver closes it. */
        public Builder folder(DataFolder value, RestoredState held) {
            folder = value;
            restored = held;
            return this;
        }

        public Builder machine(StateMachine value) {
            machine = value;
            return this;
        }

        public Builder network(PeerNetwork value, HandlerRegistry registry) {
            network = value;
            handlers = registry;
            return this;
        }

        /**
         * Where the other replicas are.
         *
         * @param byHost peer address of a control host, null for one that is none and so may not join
         * @param all peer addresses that a fresh replica asks to become a member
         */
        public Builder addresses(Function<HostId, Address> byHost, Supplier<List<Address>> all) {
            addresses = byHost;
            joinAddresses = all;
            return this;
        }

        public Builder clock(MonotonicClock value) {
            clock = value;
            return this;
        }

        public Builder metrics(MetricRegistry value) {
            metrics = value;
            return this;
        }

        public Builder random(RandomGenerator value) {
            random = value;
            return this;
        }

        public Builder settings(RaftSettings value) {
            settings = value;
            return this;
        }

        /** Inputs that may wait; more are refused. */
        public Builder queueLength(int value) {
            queueLength = value;
            return this;
        }

        /** Applied entries after which the log is compacted into a snapshot. */
        public Builder snapshotEntries(int value) {
            snapshotEntries = value;
            return this;
        }

        /** Bytes of applied entries after which the log is compacted too; they are held in memory until then. */
        public Builder snapshotBytes(long value) {
            snapshotBytes = value;
            return this;
        }

        /**
         * Time without a sign of life after which a voter is taken for lost and makes room for one that joins; without
         * it members change only by hand.
         */
        public Builder voterLostTimeout(Duration value) {
            voterLostTimeout = value;
            return this;
        }

        /** Called when the disk failed or an invariant broke; the process must end. */
        public Builder onFailure(Runnable value) {
            onFailure = value;
            return this;
        }

        /** Starts the replica. */
        public RaftDriver start() {
            return new RaftDriver(this);
        }
    }
}
