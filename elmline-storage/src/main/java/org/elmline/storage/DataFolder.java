package org.elmline.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import org.elmline.core.common.HostId;
import org.elmline.core.raft.Entry;
import org.elmline.core.raft.HardState;
import org.elmline.core.raft.Membership;
import org.elmline.core.raft.ReplicaId;
import org.elmline.core.raft.RestoredState;
import org.elmline.core.raft.Snapshot;

/**
 * One replica's durable log, hard state and snapshots: files {@code lock}, {@code identity}, {@code committed},
 * {@code log-*.seg} and {@code snapshot-*.snap}. A file lock excludes a second process: two processes that append to
 * one log would overwrite each other's acknowledged entries and votes. Not safe for concurrent use.
 */
public final class DataFolder implements AutoCloseable {
    private static final String LOCK = "lock";

    private final FileOperations files;
    private final Path folder;
    private final int segmentBytes;
    private final AutoCloseable lock;
    private final TreeMap<Long, Long> maxIndexBySegment = new TreeMap<>();
    private ReplicaId identity;
    private HardState hardState;
    private SegmentFile segment;
    private CommittedIndexFile committedFile;
    private long segmentSequence;
    private long maxIndex;
    private String failure;

    private DataFolder(FileOperations files, Path folder, int segmentBytes, AutoCloseable lock) {
        this.files = files;
        this.folder = folder;
        this.segmentBytes = segmentBytes;
        this.lock = lock;
    }

    /**
     * Opens a folder and creates it when it does not exist. An empty folder gets a new identity for the host.
     *
     * @param segmentBytes length in bytes at which a new segment is started
     */
    public static OpenResult open(
            FileOperations files, Path folder, HostId host, RandomGenerator random, int segmentBytes) {
        AutoCloseable lock = null;
        try {
            files.createFolder(folder);
            lock = files.tryLock(folder.resolve(LOCK));
            if (lock == null) {
                return new OpenResult.Locked(folder);
            }
            OpenResult result = new DataFolder(files, folder, segmentBytes, lock).load(host, random);
            if (!(result instanceof OpenResult.Opened)) {
                lock.close();
            }
            return result;
        } catch (DiskFullException e) {
            releaseLock(lock);
            return new OpenResult.DiskFull(e.getMessage());
        } catch (Exception e) {
            releaseLock(lock);
            return new OpenResult.Failed(e.toString());
        }
    }

    private static void releaseLock(AutoCloseable lock) {
        try {
            if (lock != null) {
                lock.close();
            }
        } catch (Exception e) {
            // The operating system releases the lock when the process ends.
        }
    }

    private OpenResult load(HostId host, RandomGenerator random) throws IOException {
        FolderScan scan = FolderScan.of(files, folder);
        if (!scan.corruptions().isEmpty()) {
            return new OpenResult.Corrupt(scan.corruptions().get(0));
        }
        boolean ownedByOtherHost =
                scan.identity() != null && !scan.identity().host().equals(host);
        if (ownedByOtherHost) {
            return new OpenResult.Corrupt(
                    new Corruption(IdentityFile.NAME, 0, "belongs to " + scan.identity() + ", not to " + host));
        }
        for (String each : scan.temporaryFiles()) {
            files.delete(folder.resolve(each));
        }
        truncateTornTails(scan);
        for (SegmentScan each : scan.segments()) {
            maxIndexBySegment.put(SegmentFile.sequenceOf(each.file()), each.maxIndex());
        }
        hardState = scan.replay().hardState();
        segmentSequence = scan.lastSequence() + 1;
        List<LogRecord> first = new ArrayList<>(List.of(LogRecord.of(hardState)));
        if (scan.replay().isReplacedBySnapshot()) {
            first.add(LogRecord.resetTo(scan.snapshot()));
        }
        segment = SegmentFile.create(files, folder, segmentSequence, first);
        identity = scan.identity();
        if (identity == null) {
            identity = new ReplicaId(host, random.nextLong());
            AtomicFile.write(files, folder.resolve(IdentityFile.NAME), IdentityFile.encode(identity));
        }
        return new OpenResult.Opened(this, addCommittedIndex(scan.replay().restored()));
    }

    private RestoredState addCommittedIndex(RestoredState restored) throws IOException {
        long committedIndex = files.list(folder).contains(CommittedIndexFile.NAME)
                ? CommittedIndexFile.decode(files.read(folder.resolve(CommittedIndexFile.NAME)), restored.entries())
                : 0;
        committedFile = new CommittedIndexFile(files, folder);
        return new RestoredState(restored.hardState(), restored.snapshot(), restored.entries(), committedIndex);
    }

    /**
     * Records that an entry is committed; see {@link CommittedIndexFile}. Returns whether it was written. A failure,
     * for example on a full disk, only makes the next start wait for an election.
     *
     * @param sync whether to wait for a sync to the disk, so that the record survives a loss of power
     */
    public boolean recordCommitted(long index, long term, boolean sync) {
        try {
            committedFile.write(index, term, sync);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void truncateTornTails(FolderScan scan) throws IOException {
        for (SegmentScan each : scan.segments()) {
            if (each.isTorn()) {
                try (FileOperations.OutputFile file = files.open(folder.resolve(each.file()))) {
                    file.truncate(each.validBytes());
                    file.sync();
                }
            }
        }
    }

    /** The replica that this folder belongs to. */
    public ReplicaId identity() {
        return identity;
    }

    /**
     * Initialises an empty folder as a first voter of a new cluster. This is the only way to become a voter without
     * promotion.
     *
     * @param first membership of the new cluster, the same on each first voter; must contain this replica
     */
    public StoreResult bootstrap(Membership first) {
        if (hardState.term() > 0 || !first.isVoter(identity)) {
            throw new IllegalStateException("only an empty folder of a first voter can be bootstrapped: " + identity
                    + " at term " + hardState.term() + ", first voters " + first);
        }
        RestoredState start = RestoredState.bootstrap(first);
        return append(start.hardState(), start.entries());
    }

    /**
     * Appends a batch with one write and one sync. If the index of the first entry is already in use, the log is
     * truncated from that index on.
     *
     * @param newState null when the hard state has not changed
     */
    public StoreResult append(HardState newState, List<Entry> entries) {
        List<LogRecord> batch = new ArrayList<>();
        if (newState != null) {
            batch.add(LogRecord.of(newState));
        }
        entries.forEach(each -> batch.add(LogRecord.of(each)));
        return tryWrite(() -> {
            segment.append(batch);
            hardState = newState == null ? hardState : newState;
            entries.forEach(each -> maxIndex = Math.max(maxIndex, each.index()));
            if (segment.length() >= segmentBytes) {
                rollSegment(List.of());
            }
        });
    }

    /** Writes a snapshot of this replica's state and deletes the segments and snapshots that it makes obsolete. */
    public StoreResult compact(Snapshot snapshot) {
        return tryWrite(() -> {
            writeSnapshot(snapshot);
            rollSegment(List.of());
            deleteCompacted(snapshot);
        });
    }

    /** Writes a snapshot received from the leader, which replaces the whole log. */
    public StoreResult install(Snapshot snapshot) {
        return tryWrite(() -> {
            writeSnapshot(snapshot);
            rollSegment(List.of(LogRecord.resetTo(snapshot)));
            deleteCompacted(snapshot);
        });
    }

    private void writeSnapshot(Snapshot snapshot) throws IOException {
        AtomicFile.write(files, folder.resolve(SnapshotFile.fileName(snapshot)), SnapshotFile.encode(snapshot));
    }

    private void rollSegment(List<LogRecord> extraRecords) throws IOException {
        List<LogRecord> first = new ArrayList<>(List.of(LogRecord.of(hardState)));
        first.addAll(extraRecords);
        SegmentFile next;
        try {
            next = SegmentFile.create(files, folder, segmentSequence + 1, first);
        } catch (DiskFullException e) {
            if (extraRecords.isEmpty()) {
                // The current segment accepts further batches; creating a new one is retried after the next batch.
                return;
            }
            throw e;
        }
        segment.close();
        maxIndexBySegment.put(segmentSequence, maxIndex);
        segmentSequence++;
        maxIndex = 0;
        segment = next;
    }

    private void deleteCompacted(Snapshot snapshot) throws IOException {
        String newest = SnapshotFile.fileName(snapshot);
        for (String each : files.list(folder)) {
            if (SnapshotFile.isSnapshotName(each) && each.compareTo(newest) < 0) {
                files.delete(folder.resolve(each));
            }
        }
        // Deletes from the oldest on and syncs each deletion before the next, so that a gap always means a lost
        // segment.
        while (!maxIndexBySegment.isEmpty()) {
            Map.Entry<Long, Long> oldest = maxIndexBySegment.firstEntry();
            if (oldest.getValue() > snapshot.index()) {
                break;
            }
            files.delete(folder.resolve(SegmentFile.fileName(oldest.getKey())));
            files.syncFolder(folder);
            maxIndexBySegment.remove(oldest.getKey());
        }
    }

    private interface WriteOperation {
        void run() throws IOException;
    }

    private StoreResult tryWrite(WriteOperation write) {
        if (failure != null) {
            return new StoreResult.Failed(failure);
        }
        try {
            write.run();
            return new StoreResult.Done();
        } catch (DiskFullException e) {
            return new StoreResult.DiskFull(e.getMessage());
        } catch (IOException e) {
            failure = e.toString();
            return new StoreResult.Failed(failure);
        }
    }

    /** Writes the mark of an orderly close and releases the lock. */
    @Override
    public void close() throws IOException {
        tryWrite(() -> segment.append(List.of(LogRecord.CLOSED)));
        segment.close();
        committedFile.close();
        releaseLock(lock);
    }
}
