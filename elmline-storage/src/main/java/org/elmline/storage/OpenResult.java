package org.elmline.storage;

import java.nio.file.Path;

import org.elmline.core.raft.Restored;

/** How opening a data folder ended. */
public sealed interface OpenResult {
    /** The folder is ours; {@code restored} is what it held. */
    record Opened(DataFolder folder, Restored restored) implements OpenResult {}

    /** Another process has it open. */
    record Locked(Path folder) implements OpenResult {}

    /** Something synced is not there any more; the replica must not run on it, as it would break its promises. */
    record Corrupt(Damage damage) implements OpenResult {}

    /** No room for a first segment. */
    record DiskFull(String why) implements OpenResult {}

    /** The file system failed. */
    record Failed(String why) implements OpenResult {}
}
