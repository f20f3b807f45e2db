package org.elmline.core.raft;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/** One simulated host. Its disk outlives the process; its clock has its own origin and speed. */
final class SimHost {
    enum CrashPoint {
        NONE,
        BEFORE_SYNC,
        AFTER_SYNC
    }

    final Deque<Message> inbox = new ArrayDeque<>();
    private final SimCluster cluster;
    private final double clockSpeed;
    private final long clockOriginNanos;
    private final RandomGenerator random;
    private final Map<Long, Long> readFloors = new HashMap<>();
    ReplicaId id;
    Disk disk;
    RaftNode node;
    boolean frozen;
    CrashPoint crashPoint = CrashPoint.NONE;
    long appliedIndex;
    long appliedHash;

    SimHost(SimCluster cluster, ReplicaId id, RestoredState first, RandomGenerator random) {
        this.cluster = cluster;
        this.id = id;
        this.disk = new Disk(first);
        this.random = random;
        this.clockSpeed = 0.97 + 0.06 * random.nextDouble();
        this.clockOriginNanos = random.nextLong(1_000_000_000L);
    }

    long clock() {
        return clockOriginNanos + (long) (cluster.now() * clockSpeed);
    }

    /** Converts a reading of this host's clock to the time of the simulation. */
    double simulationTime(long clockNanos) {
        return (clockNanos - clockOriginNanos) / clockSpeed;
    }

    void start() {
        if (node != null) {
            return;
        }
        RestoredState restored = disk.read();
        node = new RaftNode(id, cluster.settings(), restored, random, clock());
        frozen = false;
        crashPoint = CrashPoint.NONE;
        appliedIndex = 0;
        appliedHash = 0;
        if (restored.snapshot() != null) {
            restore(restored.snapshot());
        }
    }

    void crash() {
        node = null;
        inbox.clear();
        readFloors.clear();
    }

    /** Clears all pending faults. */
    void clearFaults() {
        frozen = false;
        crashPoint = CrashPoint.NONE;
    }

    /** Restarts the host with an empty data folder and therefore a new incarnation. */
    void loseDisk() {
        crash();
        id = new ReplicaId(id.host(), id.incarnation() + 1);
        disk = new Disk(RestoredState.EMPTY);
        start();
    }

    boolean isRunning() {
        return node != null && !frozen;
    }

    void processInputs() {
        while (isRunning() && !inbox.isEmpty()) {
            node.step(clock(), inbox.poll());
            processReady();
        }
        if (isRunning()) {
            node.tick(clock());
            processReady();
        }
    }

    void requestRead() {
        long floor = cluster.committedIndex();
        if (node.readIndex(clock()) instanceof ReadOutcome.AwaitingQuorum waiting) {
            readFloors.put(waiting.number(), floor);
        }
        processReady();
    }

    void compact() {
        long last = node.snapshot() == null ? 0 : node.snapshot().index();
        if (appliedIndex > last) {
            disk.write(node.compact(appliedIndex, stateBytes()));
        }
    }

    void processReady() {
        while (node != null && node.hasReady()) {
            Ready ready = node.ready();
            ready.messagesBeforeSync().forEach(cluster::send);
            if (ready.needsSync() && crashPoint == CrashPoint.BEFORE_SYNC) {
                crash();
                return;
            }
            disk.write(ready);
            if (ready.needsSync() && crashPoint == CrashPoint.AFTER_SYNC) {
                crash();
                return;
            }
            ready.messagesAfterSync().forEach(cluster::send);
            if (ready.snapshotToInstall() != null) {
                restore(ready.snapshotToInstall());
            }
            ready.committedEntries().forEach(this::apply);
            for (ConfirmedRead each : ready.confirmedReads()) {
                cluster.require(
                        each.index() >= readFloors.remove(each.number()),
                        "a read includes everything committed before it");
            }
            node.advance(clock(), ready);
        }
        cluster.checkInvariants(this);
    }

    private void apply(Entry entry) {
        cluster.require(entry.index() == appliedIndex + 1, "entries are applied in order");
        appliedIndex = entry.index();
        appliedHash = appliedHash * 31 + entry.hashCode();
        cluster.recordApplied(this, entry);
    }

    private void restore(Snapshot snapshot) {
        ByteBuffer state = ByteBuffer.wrap(snapshot.data());
        appliedIndex = state.getLong();
        appliedHash = state.getLong();
        cluster.require(appliedIndex == snapshot.index(), "the state in a snapshot is that of its index");
        cluster.checkRestored(this);
    }

    private byte[] stateBytes() {
        return ByteBuffer.allocate(64)
                .putLong(appliedIndex)
                .putLong(appliedHash)
                .array();
    }
}
