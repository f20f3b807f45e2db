package org.elmline.standin.model;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * KV memory of one engine, counted in tokens. Memory that no sequence holds serves as prefix cache: blocks are shared
 * by reference count, and unreferenced blocks are evicted when their memory is needed, least recently used first. Not
 * thread-safe.
 */
final class KvMemory {
    private final long capacity;
    private final int blockTokens;
    private final CacheListener listener;
    private final Map<Long, Integer> referenceCounts = new HashMap<>();
    private final Set<Long> unreferenced = new LinkedHashSet<>();
    private long privateTokens;

    KvMemory(long capacity, int blockTokens, CacheListener listener) {
        this.capacity = capacity;
        this.blockTokens = blockTokens;
        this.listener = listener;
    }

    /** Tokens in use, which can't be evicted. */
    long usedTokens() {
        return privateTokens + (long) (referenceCounts.size() - unreferenced.size()) * blockTokens;
    }

    long freeTokens() {
        return capacity - usedTokens();
    }

    int cachedBlocks() {
        return referenceCounts.size();
    }

    /** Number of leading blocks that are in memory. */
    int leadingHits(long[] blocks) {
        int hits = 0;
        while (hits < blocks.length && referenceCounts.containsKey(blocks[hits])) {
            hits++;
        }
        return hits;
    }

    void retain(long block) {
        unreferenced.remove(block);
        referenceCounts.merge(block, 1, Integer::sum);
    }

    /**
     * Allocates private tokens, evicting unreferenced blocks as needed; false and unchanged when there is not enough
     * memory.
     */
    boolean allocate(long tokens, long nowNanos) {
        if (tokens > freeTokens()) {
            return false;
        }
        privateTokens += tokens;
        evictOverflow(nowNanos);
        return true;
    }

    void free(long tokens) {
        privateTokens -= tokens;
        if (privateTokens < 0) {
            throw new IllegalStateException("more KV tokens freed than allocated: private tokens at " + privateTokens);
        }
    }

    /** Converts the private tokens of one block into a shared block. */
    void share(long block, long nowNanos) {
        free(blockTokens);
        if (!referenceCounts.containsKey(block)) {
            listener.onChange(block, true, nowNanos);
        }
        retain(block);
    }

    void release(long block) {
        int remaining = referenceCounts.merge(block, -1, Integer::sum);
        if (remaining < 0) {
            throw new IllegalStateException("block " + block + " released more often than retained");
        }
        if (remaining == 0) {
            unreferenced.add(block);
        }
    }

    private void evictOverflow(long nowNanos) {
        long total = privateTokens + (long) referenceCounts.size() * blockTokens;
        Iterator<Long> oldest = unreferenced.iterator();
        while (total > capacity && oldest.hasNext()) {
            long block = oldest.next();
            oldest.remove();
            referenceCounts.remove(block);
            total -= blockTokens;
            listener.onChange(block, false, nowNanos);
        }
    }
}
