package org.elmline.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.elmline.core.common.HostId;
import org.elmline.core.registry.EntryRecord;

/**
 * Which entry dispatches a shard of a service: the one with the lowest hash of both names (rendezvous hashing). All entries that
 * see the same entries agree without a word; a change moves only what must move. Two dispatchers for a moment can place
 * on the same free place, which costs waiting and breaks no promise.
 */
public final class DispatcherChoice {
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private static final Comparator<WeightedEntry> BY_WEIGHT = Comparator.comparingLong(WeightedEntry::weight)
            .thenComparing(each -> each.entry().host());

    private DispatcherChoice() {}

    /** An entry with its weight, worked out once: names are compared many times as they are sorted. */
    private record WeightedEntry(EntryRecord entry, long weight) {}

    /** The entries that may dispatch, the one to ask first in front. */
    public static List<EntryRecord> order(ServiceShard shard, Collection<EntryRecord> entries) {
        return weightedEntries(shard, entries)
                .sorted(BY_WEIGHT)
                .map(WeightedEntry::entry)
                .toList();
    }

    /** The entry to ask first; empty when none may dispatch. */
    public static Optional<EntryRecord> first(ServiceShard shard, Collection<EntryRecord> entries) {
        return weightedEntries(shard, entries).min(BY_WEIGHT).map(WeightedEntry::entry);
    }

    private static Stream<WeightedEntry> weightedEntries(ServiceShard shard, Collection<EntryRecord> entries) {
        String name = shard.toString();
        return entries.stream()
                .filter(EntryRecord::serving)
                .map(each -> new WeightedEntry(each, weight(name, each.host())));
    }

    private static long weight(String name, HostId host) {
        long hash = 17;
        String text = name + '/' + host.value();
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * HASH_MULTIPLIER;
            hash ^= hash >>> 29;
        }
        return hash;
    }
}
