package org.elmline.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import org.elmline.core.common.HostId;
import org.elmline.core.raft.Entry;
import org.elmline.core.raft.EntryKind;
import org.elmline.core.raft.HardState;
import org.elmline.core.raft.Membership;
import org.elmline.core.raft.ReplicaId;
import org.elmline.core.raft.RestoredState;
import org.elmline.core.raft.Snapshot;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class DataFolderTest {
    private static final HostId HOST = HostId.of("h1");
    private static final Path FOLDER = Path.of("/data");
    private static final int SEGMENT_BYTES = 100_000;
    private static final StoreResult DONE = new StoreResult.Done();

    private final MemoryFiles files = new MemoryFiles();

    static Entry entry(long index, long term) {
        return new Entry(index, term, EntryKind.COMMAND, ("command " + index + "/" + term).getBytes());
    }

    static Snapshot snapshot(long index, long term) {
        Membership members = Membership.ofVoters(List.of(new ReplicaId(HOST, 7)));
        return new Snapshot(index, term, members, ("state at " + index).getBytes());
    }

    private static OpenResult tryOpen(FileOperations files, Path folder) {
        return DataFolder.open(files, folder, HOST, new SplittableRandom(1), SEGMENT_BYTES);
    }

    private static OpenResult.Opened open(FileOperations files) {
        return assertInstanceOf(OpenResult.Opened.class, tryOpen(files, FOLDER));
    }

    private static Path segment(int sequence) {
        return FOLDER.resolve(SegmentFile.fileName(sequence));
    }

    /** Writes three batches and returns the segment's length after each. */
    private List<Integer> writeThreeBatches() {
        DataFolder folder = open(files).folder();
        List<Integer> ends = new ArrayList<>();
        for (long i = 1; i <= 3; i++) {
            assertEquals(DONE, folder.append(new HardState(i, folder.identity()), List.of(entry(i, i))));
            ends.add(files.bytes(segment(1)).length);
        }
        return ends;
    }

    /**
     * Guards against a replica that cannot start after the host died during a write, when any part of the batch may be
     * on the disk. The incomplete batch was not acknowledged and is truncated; everything before it stays, and further
     * batches can be appended.
     */
    @Test
    void aTornTailIsCutOffAtEveryByte() throws IOException {
        List<Integer> ends = writeThreeBatches();
        byte[] whole = files.bytes(segment(1));
        for (int length = ends.get(1); length < whole.length; length++) {
            MemoryFiles torn = files.copy();
            torn.put(segment(1), java.util.Arrays.copyOf(whole, length));
            OpenResult.Opened opened = open(torn);
            // The hard state and the entry of a batch are two records, and the first one may be complete.
            assertTrue(opened.restored().hardState().term() <= 3);
            assertEquals(List.of(entry(1, 1), entry(2, 2)), opened.restored().entries());
            assertEquals(DONE, opened.folder().append(null, List.of(entry(3, 9))));
            opened.folder().close();
            assertEquals(entry(3, 9), open(torn).restored().entries().get(2));
        }
    }

    /**
     * Guards against the loss of acknowledged entries and votes: a byte of a synced batch changes on the disk.
     * Truncating the log there would drop data that other replicas rely on, so opening must fail and report the
     * position.
     */
    @Test
    void aFlippedByteBeforeTheLastBatchIsRefusedAtEveryOffset() {
        List<Integer> ends = writeThreeBatches();
        for (int offset = 0; offset < ends.get(1); offset++) {
            MemoryFiles flipped = files.copy();
            flipped.bytes(segment(1))[offset] ^= 0x10;
            OpenResult.Corrupt corrupt = assertInstanceOf(OpenResult.Corrupt.class, tryOpen(flipped, FOLDER));
            assertEquals(SegmentFile.fileName(1), corrupt.corruption().file());
            assertTrue(corrupt.corruption().offset() <= offset);
        }
    }

    /** After an orderly close, the last batch counts as synced, too. */
    @Test
    void rejectsFlippedByteInClosedLog() throws IOException {
        OpenResult.Opened opened = open(files);
        opened.folder().append(null, List.of(entry(1, 1)));
        int end = files.bytes(segment(1)).length;
        opened.folder().close();
        files.bytes(segment(1))[end - 1] ^= 1;
        assertInstanceOf(OpenResult.Corrupt.class, tryOpen(files, FOLDER));
    }

    @Test
    void rejectsDamagedSnapshotMissingSegmentAndLostLog() {
        DataFolder folder = open(files).folder();
        folder.append(new HardState(1, null), List.of(entry(1, 1), entry(2, 1)));
        folder.compact(snapshot(1, 1));
        open(files).folder().append(null, List.of(entry(3, 1)));
        MemoryFiles damaged = files.copy();
        damaged.bytes(FOLDER.resolve(SnapshotFile.fileName(snapshot(1, 1))))[30] ^= 1;
        assertInstanceOf(OpenResult.Corrupt.class, tryOpen(damaged, FOLDER));
        MemoryFiles withMissingSegment = files.copy();
        withMissingSegment.put(segment(9), withMissingSegment.bytes(segment(1)));
        assertInstanceOf(OpenResult.Corrupt.class, tryOpen(withMissingSegment, FOLDER));
        MemoryFiles identityOnly = new MemoryFiles();
        identityOnly.put(FOLDER.resolve("identity"), files.bytes(FOLDER.resolve("identity")));
        assertInstanceOf(OpenResult.Corrupt.class, tryOpen(identityOnly, FOLDER));
    }

    /**
     * The disk becomes full during a batch: the write returns a result instead of throwing, and succeeds once there is
     * space.
     */
    @Test
    void aFullDiskIsAnsweredAndTheSameWriteSucceedsLater() {
        DataFolder folder = open(files).folder();
        List<Entry> batch = List.of(entry(1, 1), entry(2, 1));
        for (int room = 0; room < 50; room++) {
            files.freeBytes = room;
            assertInstanceOf(StoreResult.DiskFull.class, folder.append(new HardState(1, null), batch));
        }
        files.freeBytes = Long.MAX_VALUE;
        assertEquals(DONE, folder.append(new HardState(1, null), batch));
        assertEquals(batch, open(files).restored().entries());
    }

    /**
     * Guards against acknowledging lost bytes: after a failed sync the content of the disk is unknown, so no later
     * write may succeed.
     */
    @Test
    void afterAFailedSyncNothingIsTakenAnyMore() {
        DataFolder folder = open(files).folder();
        files.syncFails = true;
        assertInstanceOf(StoreResult.Failed.class, folder.append(null, List.of(entry(1, 1))));
        files.syncFails = false;
        assertInstanceOf(StoreResult.Failed.class, folder.append(null, List.of(entry(1, 1))));
    }

    /** Guards against a second vote under one identity: a host that lost its disk must get a new replica identity. */
    @Test
    void emptyFolderGetsNewIdentity() {
        ReplicaId first = open(files).folder().identity();
        assertEquals(first, open(files).folder().identity());
        OpenResult lost = DataFolder.open(new MemoryFiles(), FOLDER, HOST, new SplittableRandom(2), SEGMENT_BYTES);
        DataFolder replacement = assertInstanceOf(OpenResult.Opened.class, lost).folder();
        assertNotEquals(first, replacement.identity());
        assertEquals(first.host(), replacement.identity().host());
    }

    @Test
    void realFilesAreLockedRestoredAndInspectedUnchanged(@TempDir Path folder) throws IOException {
        FileOperations system = new SystemFiles();
        OpenResult.Opened opened = assertInstanceOf(OpenResult.Opened.class, tryOpen(system, folder));
        assertEquals(RestoredState.EMPTY, opened.restored());
        assertInstanceOf(OpenResult.Locked.class, tryOpen(system, folder));
        Membership first = Membership.ofVoters(List.of(opened.folder().identity()));
        assertEquals(DONE, opened.folder().bootstrap(first));
        opened.folder().append(new HardState(2, null), List.of(entry(2, 2), entry(3, 2)));
        assertEquals(DONE, opened.folder().compact(snapshot(2, 2)));
        opened.folder().close();
        List<byte[]> before = contents(folder);
        Inspection inspection = Inspection.of(system, folder);
        assertEquals(List.of(), inspection.damages());
        assertEquals(2, inspection.snapshotIndex());
        assertEquals(3, inspection.lastIndex());
        assertEquals(new HardState(2, null), inspection.hardState());
        List<byte[]> after = contents(folder);
        for (int i = 0; i < before.size(); i++) {
            assertTrue(java.util.Arrays.equals(before.get(i), after.get(i)));
        }
        RestoredState again = ((OpenResult.Opened) tryOpen(system, folder)).restored();
        assertEquals(List.of(entry(3, 2)), again.entries());
        assertEquals("state at 2", new String(again.snapshot().data()));
    }

    private static List<byte[]> contents(Path folder) throws IOException {
        List<byte[]> result = new ArrayList<>();
        try (Stream<Path> all = Files.list(folder)) {
            for (Path each : all.sorted().toList()) {
                result.add(Files.readAllBytes(each));
            }
        }
        return result;
    }
}
