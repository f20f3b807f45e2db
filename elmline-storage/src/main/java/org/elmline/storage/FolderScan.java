package org.elmline.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.elmline.core.raft.ReplicaId;
import org.elmline.core.raft.Snapshot;

/** The content of a data folder, read without changing it. */
final class FolderScan {
    private final List<SegmentScan> segments = new ArrayList<>();
    private final List<String> snapshots = new ArrayList<>();
    private final List<String> temporaryFiles = new ArrayList<>();
    private final List<Corruption> corruptions = new ArrayList<>();
    private ReplicaId identity;
    private Snapshot snapshot;
    private Replay replay;
    private long lastSequence;

    private FolderScan() {}

    static FolderScan of(FileOperations files, Path folder) throws IOException {
        FolderScan scan = new FolderScan();
        for (String name : files.list(folder)) {
            scan.readFile(files, folder.resolve(name), name);
        }
        scan.finish();
        return scan;
    }

    private void readFile(FileOperations files, Path file, String name) throws IOException {
        if (name.endsWith(AtomicFile.TEMPORARY_SUFFIX)) {
            temporaryFiles.add(name);
        } else if (name.equals(IdentityFile.NAME)) {
            identity = IdentityFile.decode(files.read(file));
            if (identity == null) {
                corruptions.add(new Corruption(name, 0, "not an identity"));
            }
        } else if (SegmentFile.isSegmentName(name)) {
            readSegment(files.read(file), name);
        } else if (SnapshotFile.isSnapshotName(name)) {
            snapshots.add(name);
            // File names sort by index, so the newest snapshot is read last.
            snapshot = SnapshotFile.decode(files.read(file));
            if (snapshot == null) {
                corruptions.add(new Corruption(name, 0, "the snapshot is damaged"));
            }
        }
    }

    private void readSegment(byte[] bytes, String name) {
        long sequence = SegmentFile.sequenceOf(name);
        if (lastSequence != 0 && sequence != lastSequence + 1) {
            corruptions.add(new Corruption(name, 0, "the segment before it is missing"));
        }
        lastSequence = sequence;
        segments.add(SegmentScan.of(name, bytes, sequence));
    }

    private void finish() {
        replay = new Replay(snapshot);
        for (int i = 0; i < segments.size(); i++) {
            SegmentScan each = segments.get(i);
            boolean isLast = i == segments.size() - 1;
            if (each.corruption() != null) {
                corruptions.add(each.corruption());
            } else if (each.isTorn() && !isLast) {
                corruptions.add(new Corruption(each.file(), each.validBytes(), "a synced record is damaged"));
            }
            Corruption gap = replay.add(each);
            if (gap != null) {
                corruptions.add(gap);
                break;
            }
        }
        if (replay.findGap() != null) {
            corruptions.add(replay.findGap());
        }
        checkIdentity();
    }

    private void checkIdentity() {
        boolean holdsState = snapshot != null || replay.hardState().term() > 0;
        if (identity == null && holdsState) {
            corruptions.add(
                    new Corruption(IdentityFile.NAME, 0, "missing although the folder holds a log or a snapshot"));
        }
        // Without this check, a replica whose log was deleted could vote a second time under the same identity.
        if (identity != null && segments.isEmpty()) {
            corruptions.add(new Corruption(IdentityFile.NAME, 0, "present without a log"));
        }
    }

    List<SegmentScan> segments() {
        return segments;
    }

    List<String> snapshots() {
        return snapshots;
    }

    List<String> temporaryFiles() {
        return temporaryFiles;
    }

    List<Corruption> corruptions() {
        return corruptions;
    }

    /** Null when there is none. */
    ReplicaId identity() {
        return identity;
    }

    Snapshot snapshot() {
        return snapshot;
    }

    Replay replay() {
        return replay;
    }

    long lastSequence() {
        return lastSequence;
    }
}
