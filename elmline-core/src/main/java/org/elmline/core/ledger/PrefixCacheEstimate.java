package org.elmline.core.ledger;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.elmline.core.engine.CacheEvents;

/**
 * Estimates which prompt blocks an engine caches. Cache events are late and have gaps, so this is a hint: a wrong one
 * costs a slow prefill, never a wrong answer. A gap clears the estimate, which then counts as empty until a batch
 * without one arrives. Bounded: the least recently used blocks are evicted first. Not thread-safe.
 */
final class PrefixCacheEstimate {
    private static final int MAX_BLOCKS = 4_096;
    private static final int MAX_FIRST_BLOCKS = 16;
    private static final int INITIAL_BLOCKS = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(INITIAL_BLOCKS, LOAD_FACTOR, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAX_BLOCKS;
        }
    };
    private final Set<Long> recentFirstBlocks = new LinkedHashSet<>();
    private long lastSequence;
    private boolean inSync = true;

    /** Sequence number of the last event applied; the next events to fetch come after it. */
    long lastSequence() {
        return lastSequence;
    }

    boolean inSync() {
        return inSync;
    }

    int size() {
        return blocks.size();
    }

    /** Number of leading blocks estimated to be cached. */
    int leadingBlocks(List<Long> prefixHashes) {
        if (!inSync) {
            return 0;
        }
        int leading = 0;
        for (Long each : prefixHashes) {
            if (!blocks.containsKey(each)) {
                return leading;
            }
            leading++;
        }
        return leading;
    }

    /** First blocks of the prompts most recently read here, newest first. */
    List<Long> recentFirstBlocks(int limit) {
        List<Long> newest = new ArrayList<>(recentFirstBlocks);
        Collections.reverse(newest);
        return newest.subList(0, Math.min(limit, newest.size()));
    }

    /** Records that a prompt was read here: its blocks are cached and count as used now. */
    void recordStored(List<Long> prefixHashes) {
        if (prefixHashes.isEmpty()) {
            return;
        }
        recentFirstBlocks.remove(prefixHashes.get(0));
        recentFirstBlocks.add(prefixHashes.get(0));
        if (recentFirstBlocks.size() > MAX_FIRST_BLOCKS) {
            recentFirstBlocks.remove(recentFirstBlocks.iterator().next());
        }
        int kept = Math.min(prefixHashes.size(), MAX_BLOCKS);
        for (int i = kept - 1; i >= 0; i--) {
            blocks.put(prefixHashes.get(i), Boolean.TRUE);
        }
    }

    /** Applies the events after {@link #lastSequence()}. */
    void apply(CacheEvents events) {
        if (events.lastSequence() <= lastSequence) {
            return;
        }
        inSync = true;
        for (CacheEvents.Event each : events.events()) {
            if (each.sequence() > lastSequence) {
                apply(each);
            }
        }
        // A batch without its last events hides evictions: prompts would be sent here for blocks no longer cached.
        if (lastSequence < events.lastSequence()) {
            reset();
            lastSequence = events.lastSequence();
        }
    }

    private void apply(CacheEvents.Event event) {
        if (event.sequence() > lastSequence + 1) {
            reset();
        }
        lastSequence = event.sequence();
        if (event.stored()) {
            blocks.put(event.blockHash(), Boolean.TRUE);
        } else {
            blocks.remove(event.blockHash());
        }
    }

    private void reset() {
        blocks.clear();
        recentFirstBlocks.clear();
        inSync = false;
    }
}
