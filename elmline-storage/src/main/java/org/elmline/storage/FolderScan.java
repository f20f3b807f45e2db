package org.elmline.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.elmline.core.raft.ReplicaId;
import org.elmline.core.raft.Snapshot;

/** Everything a data folder holds, read without changing it. */
final class FolderScan {
    private final List<SegmentScan> segments = new ArrayList<>();
    private final List<String> snapshots = new ArrayList<>();
    private final List<String> temporary = new ArrayList<>();
    private final List<Damage> damages = new ArrayList<>();
    private ReplicaId identity;
    private Snapshot snapshot;
    private Replay replay;
    private long lastSequence;

    private FolderScan() {}

    static FolderScan of(FileOperations files, Path folder) throws IOException {
        FolderScan scan = new FolderScan();
        for (String name : files.list(folder)) {
            scan.read(files, folder.resolve(name), name);
        }
        scan.finish();
        return scan;
    }

    private void read(FileOperations files, Path file, String name) throws IOException {
        if (name.endsWith(WholeFile.TEMPORARY)) {
            temporary.add(name);
        } else if (name.equals(IdentityFile.NAME)) {
            identity = IdentityFile.read(files.read(file));
            if (identity == null) {
                damages.add(new Damage(name, 0, "not an identity"));
            }
        } else if (SegmentFile.isName(name)) {
            readSegment(files.read(file), name);
        } else if (SnapshotFile.isName(name)) {
            snapshots.add(name);
            // Names sort by index, so the newest comes last.
            snapshot = SnapshotFile.read(files.read(file));
            if (snapshot == null) {
                damages.add(new Damage(name, 0, "the snapshot is damaged"));
            }
        }
    }

    private void readSegment(byte[] bytes, String name) {
        long sequence = SegmentFile.sequence(name);
        if (lastSequence != 0 && sequence != lastSequence + 1) {
            damages.add(new Damage(name, 0, "the segment before it is missing"));
        }
        lastSequence = sequence;
        segments.add(SegmentScan.of(name, bytes, sequence));
    }

    private void finish() {
        replay = new Replay(snapshot);
        for (int i = 0; i < segments.size(); i++) {
            SegmentScan each = segments.get(i);
            boolean isLast = i == segments.size() - 1;
            if (each.damage() != null) {
                damages.add(each.damage());
            } else if (each.torn() && !isLast) {
                damages.add(new Damage(each.file(), each.goodLength(), "a synced record is damaged"));
            }
            Damage gap = replay.add(each);
            if (gap != null) {
                damages.add(gap);
                break;
            }
        }
        if (replay.gap() != null) {
            damages.add(replay.gap());
        }
        checkIdentity();
    }

    private void checkIdentity() {
        boolean holdsState = snapshot != null || replay.hardState().term() > 0;
        if (identity == null && holdsState) {
            damages.add(new Damage(IdentityFile.NAME, 0, "missing beside a log"));
        }
        // Without this check a replica whose log was deleted would vote again under the identity it voted with before.
        if (identity != null && segments.isEmpty()) {
            damages.add(new Damage(IdentityFile.NAME, 0, "stands without a log"));
        }
    }

    List<SegmentScan> segments() {
        return segments;
    }

    List<String> snapshots() {
        return snapshots;
    }

    List<String> temporary() {
        return temporary;
    }

    List<Damage> damages() {
        return damages;
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
