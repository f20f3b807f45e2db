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

/** One replica of the log, run by one thread behind a bounded queue. Thread-safe; every future completes normally. */
public final class RaftDriver implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(RaftDriver.class);
    private static final long CLOSE_SECONDS = 10;

    private final BlockingQueue<RaftInput> queue;
    private final RaftLoop loop;
    private final ExecutorService thread;
    private final DataFolder folder;
    private final Counter droppedMessages;
    private volatile boolean closed;

    private RaftDriver(Builder configuration) {
        queue = new ArrayBlockingQueue<>(configuration.queueLength);
        folder = configuration.folder;
        droppedMessages = configuration.metrics.counter("raft.messages.dropped");
        RestoredState restored = configuration.restored;
        if (restored.snapshot() != null) {
            configuration.machine.restore(restored.snapshot().data());
        }
        RaftNode node = new RaftNode(
                folder.identity(), configuration.settings, restored, configuration.random, configuration.clock.nanos());
        RaftMessageSender sender = new RaftMessageSender(
                configuration.network,
                configuration.addresses,
                configuration.settings.electionTimeout(),
                configuration.metrics);
        loop = new RaftLoop(configuration, node, queue, sender);
        register(configuration.handlers);
        thread = Executors.newSingleThreadExecutor(task -> new Thread(task, "raft-" + folder.identity()));
        thread.execute(loop);
    }

    private void register(HandlerRegistry handlers) {
        handlers.registerImmediate(RaftChannels.MESSAGES, request -> {
            request.messages().forEach(each -> enqueue(new RaftInput.MessageReceived(each)));
            return CompletableFuture.completedFuture(new RaftChannels.Acknowledged());
        });
        handlers.registerImmediate(RaftChannels.JOIN, request -> {
            enqueue(new RaftInput.Join(request.replica()));
            RaftStatus now = status();
            return CompletableFuture.completedFuture(new RaftChannels.JoinAnswer(now.leader(), now.membership()));
        });
        handlers.register(RaftChannels.STATUS, request -> CompletableFuture.completedFuture(status()));
    }

    /** Queues an input; one that finds the queue full is dropped and counts as lost. */
    private void enqueue(RaftInput input) {
        if (!queue.offer(input)) {
            droppedMessages.inc();
        }
    }

    /** Proposes a command; completes once it is applied here or known not to be decided here. */
    public CompletableFuture<ProposeResult> propose(byte[] command) {
        CompletableFuture<ProposeResult> done = new CompletableFuture<>();
        return submit(new RaftInput.Propose(command, done), done);
    }

    /** Adds a replica that receives the log without a vote. */
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
            // The loop may have ended before it took this input.
            done.completeOnTimeout(new ProposeResult.Unknown("closing"), CLOSE_SECONDS, TimeUnit.SECONDS);
        }
        return done;
    }

    /** Completes once the state machine here has applied all that is committed at the time of this call. */
    public CompletableFuture<ReadResult> readIndex() {
        CompletableFuture<ReadResult> done = new CompletableFuture<>();
        if (closed || !queue.offer(new RaftInput.Read(done))) {
            done.complete(new ReadResult.NotReady());
        }
        return done;
    }

    /**
     * Transfers leadership to the voter that holds most of the log. Completes with true once this replica no longer
     * leads, which takes about one lease, and with false when no transfer is started: this replica does not lead, a
     * transfer is under way, or there is no voter to transfer to. A planned stop waits for it.
     */
    public CompletableFuture<Boolean> transferLeadership() {
        return transferLeadership(null);
    }

    /** Transfers leadership to a voter, null for the one that holds most of the log. */
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

    /** Returns the leader, null when none is known. */
    public ReplicaId leader() {
        return status().leader();
    }

    /** See {@link RaftNode#leaseUntilNanos()}; compare it with the clock right before acting. */
    public long leaseUntilNanos() {
        return status().leaseUntilNanos();
    }

    /** Stops the thread, completes all pending operations and closes the data folder. */
    @Override
    public void close() {
        closed = true;
        loop.stop();
        thread.shutdown();
        try {
            if (!thread.awaitTermination(CLOSE_SECONDS, TimeUnit.SECONDS)) {
                LOG.warnf(
                        "replica %s did not stop within the time limit; its data folder stays open", folder.identity());
                return;
            }
            folder.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (java.io.IOException e) {
            LOG.warnf("failed to close data folder of %s: %s", folder.identity(), e);
        }
    }

    public static Builder builder() {
        return new Builder();
    }

    /** Builder of a replica. */
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

        /**
         * Sets the opened folder, whose identity this replica takes, and its restored contents; the driver closes the
         * folder.
         */
        public Builder folder(DataFolder value, RestoredState state) {
            folder = value;
            restored = state;
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
         * Sets how to find the other replicas.
         *
         * @param byHost peer address of a control host, null for a host that is none and so may not join
         * @param all peer addresses to which a replica with a new data folder sends join requests
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

        /** Sets the limit on queued inputs; more are rejected. */
        public Builder queueLength(int value) {
            queueLength = value;
            return this;
        }

        /** Sets the number of applied entries after which the log is compacted into a snapshot. */
        public Builder snapshotEntries(int value) {
            snapshotEntries = value;
            return this;
        }

        /** Sets the bytes of applied entries, held in memory until then, after which the log is compacted too. */
        public Builder snapshotBytes(long value) {
            snapshotBytes = value;
            return this;
        }

        /**
         * Sets the time without contact after which a voter counts as lost and is replaced by a replica that joins;
         * without it the membership changes only on an operator's request.
         */
        public Builder voterLostTimeout(Duration value) {
            voterLostTimeout = value;
            return this;
        }

        /** Sets the callback for a failed disk or a broken invariant; the process must end then. */
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
