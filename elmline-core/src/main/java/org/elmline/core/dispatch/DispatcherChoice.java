package org.elmline.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.elmline.core.registry.EntryRecord;

/**
 * Chooses the entry that dispatches a shard of a service: the one with the lowest hash of both names (rendezvous
 * hashing). All entries with the same membership agree without communication, and a change of membership moves only the
 * shards of the entries concerned. While memberships differ, two dispatchers may grant the same slot; this costs
 * waiting time but violates no guarantee.
 */
public final class DispatcherChoice {
    private static final Comparator<WeightedEntry> BY_WEIGHT = Comparator.comparingLong(WeightedEntry::weight)
            .thenComparing(each -> each.entry().host());

    private DispatcherChoice() {}

    /** An entry with its weight, computed once, as sorting compares it many times. */
    private record WeightedEntry(EntryRecord entry, long weight) {}

    /** The entries that may dispatch, in the order in which they are to be tried. */
    public static List<EntryRecord> order(ServiceShard shard, Collection<EntryRecord> entries) {
        return weightedEntries(shard, entries)
                .sorted(BY_WEIGHT)
                .map(WeightedEntry::entry)
                .toList();
    }

    /** The preferred dispatcher; empty when no entry may dispatch. */
    public static Optional<EntryRecord> first(ServiceShard shard, Collection<EntryRecord> entries) {
        return weightedEntries(shard, entries).min(BY_WEIGHT).map(WeightedEntry::entry);
    }

    private static Stream<WeightedEntry> weightedEntries(ServiceShard shard, Collection<EntryRecord> entries) {
        String name = shard.toString();
        return entries.stream()
                .filter(EntryRecord::serving)
                .map(each -> new WeightedEntry(each, RendezvousHash.weight(name, each.host())));
    }
}
