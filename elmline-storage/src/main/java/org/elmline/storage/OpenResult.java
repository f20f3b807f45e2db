package org.elmline.storage;

import java.nio.file.Path;

import org.elmline.core.raft.RestoredState;

/** How opening a data folder ended. */
public sealed interface OpenResult {
    /** The folder is ours; {@code restored} is what it held. */
    record Opened(DataFolder folder, RestoredState restored) implements OpenResult {}

    /** Another process has it open. */
    record Locked(Path folder) implements OpenResult {}

    /** Something synced is not there any more; the replica must not run on it, as it would break its promises. */
    record Corrupt(Corruption corruption) implements OpenResult {}

    /** No room for a first segment. */
    record DiskFull(String reason) implements OpenResult {}

    /** The file system failed. */
    record Failed(String reason) implements OpenResult {}
}
