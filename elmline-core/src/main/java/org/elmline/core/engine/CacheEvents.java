package org.elmline.core.engine;

import java.util.List;

/**
 * Prefix-cache changes after a sequence number. Events arrive late and with gaps; after a gap in the sequence, the
 * known contents of the engine's cache are unreliable.
 */
public record CacheEvents(List<Event> events, long lastSequence) {
    public CacheEvents {
        events = List.copyOf(events);
    }

    /** One block of a prefix was stored or evicted; its hash covers all blocks before it. */
    public record Event(long sequence, long blockHash, boolean stored) {}
}
