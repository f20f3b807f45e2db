package org.elmline.core.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

import org.elmline.core.common.Address;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.Region;

/**
 * Selects the entries that callers in a given region and failure domain should connect to. Where a failure domain has
 * many more entries than its callers need, they are directed to the longest running ones: an entry that serves a call a
 * second never has its code compiled, and each call costs several times the processor time that it costs on a busy
 * entry. Further entries are offered while those are overloaded. Immutable.
 */
public final class CallerDirectory {
    /** Largest number of addresses in one answer. */
    public static final int MAX_ADDRESSES = 64;

    /**
     * Number of entries of the caller's own failure domain that suffice for an answer. With fewer, the entries of the
     * region are added, so that the loss of one host does not leave the callers of a domain without a reachable entry.
     */
    private static final int MIN_DOMAIN_ENTRIES = 3;

    /** The selection is widened when one in so many of the selected entries is overloaded. */
    private static final int OVERLOADED_DIVISOR = 3;

    private static final Comparator<EntryRecord> LONGEST_RUNNING_FIRST =
            Comparator.comparingLong(EntryRecord::incarnation).thenComparing(EntryRecord::host);

    private final int entriesPerDomain;

    /** @param entriesPerDomain entries of a failure domain that suffice for its callers; 0 to offer all of them */
    public CallerDirectory(int entriesPerDomain) {
        this.entriesPerDomain = entriesPerDomain == 0 ? Integer.MAX_VALUE : entriesPerDomain;
    }

    /**
     * Returns the callers' addresses of serving entries, in random order; empty when no entry serves.
     *
     * @param entries all known entries
     */
    public List<Address> addresses(
            Collection<EntryRecord> entries, Region region, FailureDomain domain, RandomGenerator random) {
        List<EntryRecord> sameDomainEntries = new ArrayList<>();
        List<EntryRecord> sameRegionEntries = new ArrayList<>();
        List<EntryRecord> remoteEntries = new ArrayList<>();
        for (EntryRecord entry : entries) {
            if (!entry.serving()) {
                continue;
            }
            boolean sameDomain = entry.failureDomain().equals(domain);
            boolean sameRegion = entry.region().equals(region);
            (sameDomain ? sameDomainEntries : sameRegion ? sameRegionEntries : remoteEntries).add(entry);
        }
        List<EntryRecord> chosen = select(sameDomainEntries);
        if (chosen.size() < MIN_DOMAIN_ENTRIES) {
            chosen.addAll(sameRegionEntries);
        }
        if (chosen.isEmpty()) {
            chosen.addAll(remoteEntries);
        }
        shuffle(chosen, random);
        return chosen.stream().limit(MAX_ADDRESSES).map(EntryRecord::callers).toList();
    }

    private List<EntryRecord> select(List<EntryRecord> ofDomain) {
        if (ofDomain.size() <= entriesPerDomain) {
            return ofDomain;
        }
        ofDomain.sort(LONGEST_RUNNING_FIRST);
        int size = entriesPerDomain;
        while (size < ofDomain.size() && isOverloaded(ofDomain.subList(0, size))) {
            size = Math.min(2 * size, ofDomain.size());
        }
        return new ArrayList<>(ofDomain.subList(0, size));
    }

    private static boolean isOverloaded(List<EntryRecord> selected) {
        long overloaded = selected.stream().filter(EntryRecord::overloaded).count();
        return overloaded * OVERLOADED_DIVISOR >= selected.size();
    }

    private static void shuffle(List<EntryRecord> list, RandomGenerator random) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
    }
}
