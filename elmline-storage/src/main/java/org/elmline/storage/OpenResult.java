package org.elmline.storage;

import java.nio.file.Path;

import org.elmline.core.raft.RestoredState;

/** The result of opening a data folder. */
public sealed interface OpenResult {
    /** The folder is open and locked; {@code restored} is the state it held. */
    record Opened(DataFolder folder, RestoredState restored) implements OpenResult {}

    /** The folder is open already, in this or another process. */
    record Locked(Path folder) implements OpenResult {}

    /**
     * Synced data is missing or damaged; the replica must not run, as it may have lost votes or entries that it
     * acknowledged.
     */
    record Corrupt(Corruption corruption) implements OpenResult {}

    /** The disk has no space for the files that opening writes: a new segment and, in an empty folder, the identity. */
    record DiskFull(String reason) implements OpenResult {}

    /** A file operation failed. */
    record Failed(String reason) implements OpenResult {}
}
