package org.elmline.storage;

/** How a write ended. */
public sealed interface StoreResult {
    /** Synced; it lasts. */
    record Done() implements StoreResult {}

    /** No room; nothing of it counts, and the same write may be tried again later. */
    record DiskFull(String reason) implements StoreResult {}

    /** The disk failed; what is on it is unknown, and this opening of the folder takes no more writes. */
    record Failed(String reason) implements StoreResult {}
}
