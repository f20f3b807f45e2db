package org.elmline.storage;

/** The result of a write. */
public sealed interface StoreResult {
    /** The write is synced and durable. */
    record Done() implements StoreResult {}

    /**
     * The disk is full. No record of the write is kept, though the file of a snapshot may be, and the same write can be
     * retried later.
     */
    record DiskFull(String reason) implements StoreResult {}

    /**
     * A write or sync failed. The content of the disk is unknown, and the folder accepts no more writes until it is
     * opened again.
     */
    record Failed(String reason) implements StoreResult {}
}
