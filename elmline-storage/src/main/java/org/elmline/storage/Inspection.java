package org.elmline.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

import org.elmline.core.raft.Entry;
import org.elmline.core.raft.EntryKind;
import org.elmline.core.raft.HardState;
import org.elmline.core.raft.Membership;
import org.elmline.core.raft.ReplicaId;
import org.elmline.core.raft.RestoredState;

/**
 * The content of a data folder, for operators. Reading changes nothing and takes no lock, so it can also inspect the
 * folder of a running process; the last segment may look torn then.
 *
 * @param replica null when the folder has no identity
 * @param snapshotIndex 0 without a snapshot
 * @param membership the membership as of the last entry
 * @param damages empty when a replica can run on the folder
 */
public record Inspection(
        ReplicaId replica,
        HardState hardState,
        long snapshotIndex,
        long snapshotTerm,
        long snapshotBytes,
        long firstIndex,
        long lastIndex,
        long lastTerm,
        Membership membership,
        List<Segment> segments,
        List<Corruption> damages) {

    /**
     * One file of the log.
     *
     * @param entries number of entries in it, including those truncated or compacted since
     * @param tornBytes bytes at its end that were never synced and will be truncated
     */
    public record Segment(String file, long bytes, long entries, long maxIndex, long tornBytes) {}

    public static Inspection of(FileOperations files, Path folder) throws IOException {
        FolderScan scan = FolderScan.of(files, folder);
        RestoredState restored = scan.replay().restored();
        List<Entry> entries = restored.entries();
        boolean compacted = restored.snapshot() != null;
        long snapshotIndex = compacted ? restored.snapshot().index() : 0;
        long snapshotTerm = compacted ? restored.snapshot().term() : 0;
        Entry last = entries.isEmpty() ? null : entries.get(entries.size() - 1);
        return new Inspection(
                scan.identity(),
                restored.hardState(),
                snapshotIndex,
                snapshotTerm,
                compacted ? restored.snapshot().data().length : 0,
                snapshotIndex + 1,
                last == null ? snapshotIndex : last.index(),
                last == null ? snapshotTerm : last.term(),
                membership(restored),
                scan.segments().stream().map(Inspection::segment).toList(),
                List.copyOf(scan.corruptions()));
    }

    private static Membership membership(RestoredState restored) {
        Membership newest = restored.snapshot() == null
                ? Membership.EMPTY
                : restored.snapshot().membership();
        for (Entry each : restored.entries()) {
            newest = each.kind() == EntryKind.MEMBERSHIP ? Membership.ofBytes(each.data()) : newest;
        }
        return newest;
    }

    private static Segment segment(SegmentScan scan) {
        long entries = scan.records().stream()
                .filter(each -> each.type() == RecordType.ENTRY)
                .count();
        int torn = scan.isTorn() ? scan.fileBytes() - scan.validBytes() : 0;
        return new Segment(scan.file(), scan.fileBytes(), entries, scan.maxIndex(), torn);
    }
}
