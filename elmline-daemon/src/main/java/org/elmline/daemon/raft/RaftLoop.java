package org.elmline.daemon.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.raft.Entry;
import org.elmline.core.raft.EntryKind;
import org.elmline.core.raft.JoinPlanner;
import org.elmline.core.raft.JoinQueue;
import org.elmline.core.raft.MembershipChange;
import org.elmline.core.raft.ProposeOutcome;
import org.elmline.core.raft.ProposeRefusal;
import org.elmline.core.raft.RaftNode;
import org.elmline.core.raft.ReadOutcome;
import org.elmline.core.raft.Ready;
import org.elmline.core.raft.ReplicaId;
import org.elmline.core.raft.Snapshot;
import org.elmline.storage.DataFolder;
import org.elmline.storage.StoreResult;
import org.jboss.logging.Logger;

/**
 * The log's thread: takes inputs in batches, syncs once per batch, sends messages and applies committed entries. While
 * the disk is full it handles no input, so that this replica neither votes nor acknowledges entries and another can
 * lead.
 */
final class RaftLoop implements Runnable {
    private static final Logger LOG = Logger.getLogger(RaftLoop.class);
    private static final int MAX_BATCH = 1_024;
    private static final long FULL_DISK_RETRY_MILLIS = 100;

    /**
     * Below this duration of the last sync, the committed index is synced too, which correctness does not require; a
     * slow or faulty disk gets no optional sync.
     */
    private static final long QUICK_SYNC_NANOS = 20_000_000;

    private static final byte[] EMPTY_RESULT = new byte[0];

    private final RaftDriver.Builder configuration;
    private final RaftNode node;
    private final DataFolder folder;
    private final StateMachine machine;
    private final MonotonicClock clock;
    private final BlockingQueue<RaftInput> queue;
    private final RaftMessageSender sender;
    private final PendingOperations pendingOperations = new PendingOperations();
    private final MembershipReporter membershipReporter;
    private final JoinRequester joinRequester;
    private final JoinQueue joinQueue;
    private final long tickNanos;
    private final Counter syncs;
    private final Counter committed;
    private final Counter snapshots;
    private final Counter unrecordedCommits;
    private volatile RaftStatus status;
    private volatile boolean stopping;
    private long snapshotIndex;
    private long bytesSinceSnapshot;
    private long nextPruneNanos;
    private long nextVoterCheckNanos;
    private long lastSyncNanos;

    RaftLoop(
            RaftDriver.Builder configuration, RaftNode node, BlockingQueue<RaftInput> queue, RaftMessageSender sender) {
        this.configuration = configuration;
        this.node = node;
        this.folder = configuration.folder;
        this.machine = configuration.machine;
        this.clock = configuration.clock;
        this.queue = queue;
        this.sender = sender;
        this.tickNanos = configuration.settings.heartbeat().toNanos() / 4;
        MetricRegistry metrics = configuration.metrics;
        this.membershipReporter = new MembershipReporter(
                node, metrics, 2 * configuration.settings.electionTimeout().toNanos());
        this.joinQueue =
                new JoinQueue(2 * configuration.settings.electionTimeout().toNanos());
        this.joinRequester = new JoinRequester(
                configuration,
                node,
                sender,
                membershipReporter,
                answer -> queue.offer(new RaftInput.JoinAnswerReceived(answer)));
        this.syncs = metrics.counter("raft.syncs");
        this.committed = metrics.counter("raft.committed");
        this.snapshots = metrics.counter("raft.snapshots");
        this.unrecordedCommits = metrics.counter("raft.commits.unnoted");
        this.status = RaftStatus.of(node);
        this.snapshotIndex = node.snapshot() == null ? 0 : node.snapshot().index();
        this.nextPruneNanos = clock.nanos();
        this.nextVoterCheckNanos = nextPruneNanos;
    }

    RaftStatus status() {
        return status;
    }

    void stop() {
        stopping = true;
    }

    @Override
    public void run() {
        try {
            while (!stopping) {
                runOnce();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (StorageFailure e) {
            LOG.errorf("replica %s stops: %s", node.self(), e.getMessage());
            configuration.onFailure.run();
        } catch (RuntimeException e) {
            LOG.errorf(e, "replica %s stops on a broken invariant", node.self());
            configuration.onFailure.run();
        } finally {
            shutDown();
        }
    }

    private void shutDown() {
        stopping = true;
        status = status.withoutLeadership();
        pendingOperations.onDeposed(Long.MAX_VALUE, null, "the replica stopped");
        List<RaftInput> unhandled = new ArrayList<>();
        queue.drainTo(unhandled);
        unhandled.forEach(each -> reject(each, ProposeRefusal.CLOSED));
    }

    private void runOnce() throws InterruptedException {
        List<RaftInput> inputs = new ArrayList<>();
        RaftInput first = queue.poll(tickNanos, TimeUnit.NANOSECONDS);
        if (first != null) {
            inputs.add(first);
            queue.drainTo(inputs, MAX_BATCH - 1);
        }
        // RaftNode requires that the clock is read after the messages were received.
        long now = clock.nanos();
        // Messages that were queued while this thread was paused must be handled before the node checks for timeouts;
        // otherwise live replicas would count as lost.
        handleAll(inputs, now);
        node.tick(now);
        proposeNextJoin(now);
        processReady();
        joinRequester.tick(now);
        pruneLostVoters(now);
        if (now >= nextVoterCheckNanos) {
            nextVoterCheckNanos = now + configuration.settings.electionTimeout().toNanos();
            membershipReporter.checkMissingVoters();
        }
    }

    private boolean isLost(ReplicaId member) {
        return configuration.voterLostTimeout != null
                && node.isLeader()
                && node.nanosSinceContact(member) >= configuration.voterLostTimeout.toNanos();
    }

    private void pruneLostVoters(long now) {
        if (configuration.voterLostTimeout == null || !node.isLeader() || now < nextPruneNanos) {
            return;
        }
        nextPruneNanos = now + configuration.settings.electionTimeout().toNanos();
        JoinPlanner.removeLostVoter(node.membership(), this::isLost).ifPresent(change -> proposeChange(change, now));
    }

    private void handleAll(List<RaftInput> inputs, long now) {
        List<RaftInput.Propose> proposals = new ArrayList<>();
        for (RaftInput each : inputs) {
            if (each instanceof RaftInput.Propose propose) {
                proposals.add(propose);
            } else {
                handle(each, now);
            }
        }
        propose(proposals, now);
    }

    private void handle(RaftInput input, long now) {
        if (input instanceof RaftInput.MessageReceived received) {
            if (!received.message().to().equals(node.self())) {
                joinRequester.onMessageToPredecessor(received.message().from());
            }
            node.step(now, received.message());
        } else if (input instanceof RaftInput.ChangeMembership change) {
            ProposeOutcome outcome = node.propose(now, change.change());
            if (outcome instanceof ProposeOutcome.Appended appended) {
                pendingOperations.addProposal(appended.firstIndex(), appended.term(), change.done());
            } else {
                change.done().complete(result(outcome));
            }
        } else if (input instanceof RaftInput.Read read) {
            read(read, now);
        } else if (input instanceof RaftInput.Join join) {
            handleJoin(join.replica(), now);
        } else if (input instanceof RaftInput.JoinAnswerReceived answered) {
            joinRequester.onAnswer(answered.answer(), now);
        } else if (input instanceof RaftInput.TransferLeadership transfer) {
            boolean started = transfer.target() == null
                    ? node.transferLeadership(now)
                    : node.transferLeadership(now, transfer.target());
            if (started) {
                pendingOperations.addTransfer(transfer.done());
            } else {
                transfer.done().complete(false);
            }
        }
    }

    private void handleJoin(ReplicaId joining, long now) {
        boolean known = configuration.addresses.apply(joining.host()) != null;
        if (!known || !node.isLeader()) {
            membershipReporter.logJoinRefused(joining, known);
            return;
        }
        joinQueue.addRequest(joining, now);
    }

    private void proposeNextJoin(long now) {
        if (node.isLeader()) {
            joinQueue
                    .nextChange(node.membership(), this::isReadyToVote, this::isLost, now)
                    .ifPresent(change -> proposeChange(change, now));
        } else {
            joinQueue.clear();
        }
    }

    private boolean isReadyToVote(ReplicaId joining) {
        boolean inContact = node.nanosSinceContact(joining)
                < configuration.settings.electionTimeout().toNanos();
        return inContact && node.isCaughtUp(joining);
    }

    private void proposeChange(MembershipChange change, long now) {
        membershipReporter.logChange(change, node.propose(now, change));
    }

    private void read(RaftInput.Read read, long now) {
        ReadOutcome outcome = node.readIndex(now);
        if (outcome instanceof ReadOutcome.AwaitingQuorum awaiting) {
            pendingOperations.addRead(awaiting.number(), node.term(), read.done());
        } else if (outcome instanceof ReadOutcome.NotLeader notLeader) {
            read.done().complete(new ReadResult.NotLeader(notLeader.leader()));
        } else {
            read.done().complete(new ReadResult.NotReady());
        }
    }

    /** Proposes all in one batch, or each on its own when the batch is refused, as it may be too large as a whole. */
    private void propose(List<RaftInput.Propose> proposals, long now) {
        if (proposals.isEmpty()) {
            return;
        }
        ProposeOutcome outcome = node.propose(
                now, proposals.stream().map(RaftInput.Propose::command).toList());
        if (outcome instanceof ProposeOutcome.Appended appended) {
            for (int i = 0; i < proposals.size(); i++) {
                pendingOperations.addProposal(
                        appended.firstIndex() + i,
                        appended.term(),
                        proposals.get(i).done());
            }
        } else if (outcome instanceof ProposeOutcome.Refused && proposals.size() > 1) {
            proposals.forEach(each -> propose(List.of(each), now));
        } else {
            proposals.forEach(each -> each.done().complete(result(outcome)));
        }
    }

    private static ProposeResult result(ProposeOutcome outcome) {
        if (outcome instanceof ProposeOutcome.NotLeader notLeader) {
            return new ProposeResult.NotLeader(notLeader.leader());
        }
        return new ProposeResult.Refused(((ProposeOutcome.Refused) outcome).reason());
    }

    private void processReady() throws InterruptedException {
        while (node.hasReady() && !stopping) {
            Ready ready = node.ready();
            sender.send(ready.messagesBeforeSync());
            if (!sync(ready)) {
                return;
            }
            sender.send(ready.messagesAfterSync());
            if (ready.snapshotToInstall() != null) {
                machine.restore(ready.snapshotToInstall().data());
                snapshotIndex = ready.snapshotToInstall().index();
            }
            ready.committedEntries().forEach(this::apply);
            recordCommitted(ready.committedEntries());
            ready.confirmedReads().forEach(pendingOperations::onReadConfirmed);
            node.advance(clock.nanos(), ready);
            // A sync may have waited for free disk space. Without this tick the old status would be published, and this
            // replica would count as leader although another leads meanwhile.
            node.tick(clock.nanos());
        }
        publish();
        compact();
    }

    private void recordCommitted(List<Entry> committed) {
        if (!committed.isEmpty()) {
            Entry newest = committed.get(committed.size() - 1);
            boolean quick = lastSyncNanos < QUICK_SYNC_NANOS;
            if (!folder.recordCommitted(newest.index(), newest.term(), quick)) {
                unrecordedCommits.inc();
            }
        }
    }

    /** Returns false when the replica was stopped before there was free disk space. */
    private boolean sync(Ready ready) throws InterruptedException {
        if (ready.snapshotToInstall() != null && !write(() -> folder.install(ready.snapshotToInstall()))) {
            return false;
        }
        boolean hasRecords = ready.hardState() != null || !ready.entries().isEmpty();
        long startNanos = clock.nanos();
        boolean written = !hasRecords || write(() -> folder.append(ready.hardState(), ready.entries()));
        if (hasRecords) {
            lastSyncNanos = clock.nanos() - startNanos;
        }
        return written;
    }

    private boolean write(Supplier<StoreResult> write) throws InterruptedException {
        boolean waiting = false;
        while (!stopping) {
            StoreResult result = write.get();
            if (result instanceof StoreResult.Done) {
                syncs.inc();
                return true;
            }
            if (result instanceof StoreResult.Failed failed) {
                throw new StorageFailure(failed.reason());
            }
            if (!waiting) {
                LOG.warnf("replica %s waits for free disk space: its disk is full", node.self());
                waiting = true;
            }
            waitForDiskSpace();
        }
        return false;
    }

    private void waitForDiskSpace() throws InterruptedException {
        status = status.withoutLeadership();
        List<RaftInput> unhandled = new ArrayList<>();
        queue.drainTo(unhandled);
        unhandled.forEach(each -> reject(each, ProposeRefusal.DISK_FULL));
        Thread.sleep(FULL_DISK_RETRY_MILLIS);
    }

    /** Completes the input's future; messages are dropped, which counts as loss on the network. */
    private static void reject(RaftInput input, ProposeRefusal why) {
        if (input instanceof RaftInput.Propose propose) {
            propose.done().complete(new ProposeResult.Refused(why));
        } else if (input instanceof RaftInput.ChangeMembership change) {
            change.done().complete(new ProposeResult.Refused(why));
        } else if (input instanceof RaftInput.Read read) {
            read.done().complete(new ReadResult.NotReady());
        } else if (input instanceof RaftInput.TransferLeadership transfer) {
            transfer.done().complete(false);
        }
    }

    private void apply(Entry entry) {
        committed.inc();
        bytesSinceSnapshot += entry.sizeBytes();
        boolean command = entry.kind() == EntryKind.COMMAND;
        byte[] result = command ? machine.apply(entry.index(), entry.data()) : EMPTY_RESULT;
        pendingOperations.onApplied(entry, result, node.leader());
    }

    private void publish() {
        RaftStatus before = status;
        RaftStatus after = RaftStatus.of(node);
        status = after;
        long firstLedTerm = after.leads() ? after.term() : Long.MAX_VALUE;
        pendingOperations.onDeposed(firstLedTerm, after.leader(), "this replica leads no more");
        if (after.role() != before.role() && (after.leads() || before.leads())) {
            LOG.infof(
                    "replica %s became %s in term %d, committed %d, %s",
                    after.self(), after.role(), after.term(), after.committedIndex(), sender.totals());
        }
    }

    private void compact() {
        boolean due = node.appliedIndex() - snapshotIndex >= configuration.snapshotEntries
                || bytesSinceSnapshot >= configuration.snapshotBytes;
        if (!due || stopping) {
            return;
        }
        bytesSinceSnapshot = 0;
        Snapshot snapshot = node.compact(node.appliedIndex(), machine.snapshot());
        snapshotIndex = snapshot.index();
        StoreResult result = folder.compact(snapshot);
        if (result instanceof StoreResult.Failed failed) {
            throw new StorageFailure(failed.reason());
        }
        // With a full disk the log stays uncompacted, and the next snapshot replaces this one.
        snapshots.inc();
    }

    /** The disk failed, so this replica must stop: it can no longer keep its votes and acknowledged entries. */
    private static final class StorageFailure extends RuntimeException {
        private static final long serialVersionUID = 1L;

        private StorageFailure(String why) {
            super(why);
        }
    }
}
