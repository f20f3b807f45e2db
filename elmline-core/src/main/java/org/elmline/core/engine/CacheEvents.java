package org.elmline.core.engine;

import java.util.List;

/**
 * Prefix-cache changes after a sequence number. Events come late and with gaps; a gap in the sequence means that what
 * is known of the engine's cache can't be relied on.
 */
public record CacheEvents(List<Event> events, long lastSequence) {
    public CacheEvents {
        events = List.copyOf(events);
    }

    /** One block of a prefix was stored or evicted; the hash chains over all blocks before it. */
    public record Event(long sequence, long blockHash, boolean stored) {}
}
