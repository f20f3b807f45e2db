package org.elmline.standin.model;

/** Hears each change of the prefix cache as it happens. */
@FunctionalInterface
public interface CacheListener {
    void onChange(long blockHash, boolean stored, long atNanos);
}
