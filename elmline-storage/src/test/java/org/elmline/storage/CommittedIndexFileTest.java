package org.elmline.storage;

import java.nio.file.Path;
import java.util.List;

import org.elmline.core.common.HostId;
import org.elmline.core.raft.Entry;
import org.elmline.core.raft.EntryKind;
import org.elmline.core.raft.HardState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests which state a restarted control host may serve before a leader is elected. */
class CommittedIndexFileTest {
    @TempDir
    private Path folder;

    private static Entry entry(long index, long term) {
        return new Entry(index, term, EntryKind.COMMAND, new byte[] {1});
    }

    private OpenResult.Opened open() {
        OpenResult result =
                DataFolder.open(new SystemFiles(), folder, HostId.of("a"), new java.util.SplittableRandom(1), 1 << 20);
        return assertInstanceOf(OpenResult.Opened.class, result);
    }

    /**
     * Guards against control hosts that serve no routing table until an election is over: all of them are killed at
     * once, and without the recorded index each one starts with no entries applied.
     */
    @Test
    void recordedIndexIsRestoredAfterRestart() throws Exception {
        try (DataFolder data = open().folder()) {
            data.append(new HardState(3, null), List.of(entry(1, 2), entry(2, 3), entry(3, 3)));
            assertTrue(data.recordCommitted(1, 2, false));
            assertTrue(data.recordCommitted(2, 3, true));
        }
        OpenResult.Opened reopened = open();
        assertEquals(2, reopened.restored().committedIndex());
        reopened.folder().close();
    }

    /** A record that names an entry that is not in the log, or that is torn, must be ignored. */
    @Test
    void ignoresRecordOfUnknownEntry() throws Exception {
        List<Entry> entries = List.of(entry(1, 2), entry(2, 3));
        try (DataFolder data = open().folder()) {
            data.append(new HardState(3, null), entries);
            data.recordCommitted(2, 9, true);
        }
        OpenResult.Opened reopened = open();
        assertEquals(0, reopened.restored().committedIndex());
        reopened.folder().close();
        assertEquals(0, CommittedIndexFile.decode(new byte[24], entries));
        assertEquals(0, CommittedIndexFile.decode(new byte[3], entries));
    }
}
