package org.elmline.standin.model;

/** Receives each change of an engine's prefix cache, on the thread that drives the engine model. */
@FunctionalInterface
public interface CacheListener {
    /**
     * Called when a block was stored or evicted.
     *
     * @param stored true if the block was stored, false if it was evicted
     * @param atNanos time on the engine model's clock
     */
    void onChange(long blockHash, boolean stored, long atNanos);
}
