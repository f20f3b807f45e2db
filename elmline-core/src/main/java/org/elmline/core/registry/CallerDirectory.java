package org.elmline.core.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

import org.elmline.core.common.Address;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.Region;

/** Selects the entries that callers in a given region and failure domain should connect to. */
public final class CallerDirectory {
    /** Largest number of addresses in one answer. */
    public static final int MAX_ADDRESSES = 64;

    /**
     * Number of entries of the caller's own failure domain that suffice for an answer. With fewer, the entries of the
     * region are added, so that the loss of one host does not leave the callers of a domain without a reachable entry.
     */
    private static final int MIN_DOMAIN_ENTRIES = 3;

    private CallerDirectory() {}

    /**
     * Returns the callers' addresses of serving entries, in random order; empty when no entry serves.
     *
     * @param entries all known entries
     */
    public static List<Address> addresses(
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
        List<EntryRecord> chosen = new ArrayList<>(sameDomainEntries);
        if (chosen.size() < MIN_DOMAIN_ENTRIES) {
            chosen.addAll(sameRegionEntries);
        }
        if (chosen.isEmpty()) {
            chosen.addAll(remoteEntries);
        }
        shuffle(chosen, random);
        return chosen.stream().limit(MAX_ADDRESSES).map(EntryRecord::callers).toList();
    }

    private static void shuffle(List<EntryRecord> list, RandomGenerator random) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
    }
}
