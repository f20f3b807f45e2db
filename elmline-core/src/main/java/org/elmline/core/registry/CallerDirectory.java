package org.elmline.core.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

import org.elmline.core.common.Address;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.Region;

/** Which entries the callers of a place should connect to. */
public final class CallerDirectory {
    /** Addresses in one answer, at most. */
    public static final int MAX_ADDRESSES = 64;

    /**
     * Entries of the caller's own failure domain that make an answer by themselves; with fewer the region's are added,
     * so that the loss of one host does not leave the callers of a domain with nobody.
     */
    private static final int MIN_DOMAIN_ENTRIES = 3;

    private CallerDirectory() {}

    /**
     * Callers' addresses of entries that serve, in random order; empty when none does.
     *
     * @param entries all entries that are known
     */
    public static List<Address> addresses(
            Collection<EntryRecord> entries, Region region, FailureDomain domain, RandomGenerator random) {
        List<EntryRecord> near = new ArrayList<>();
        List<EntryRecord> inRegion = new ArrayList<>();
        List<EntryRecord> far = new ArrayList<>();
        for (EntryRecord entry : entries) {
            if (!entry.serving()) {
                continue;
            }
            boolean sameDomain = entry.failureDomain().equals(domain);
            boolean sameRegion = entry.region().equals(region);
            (sameDomain ? near : sameRegion ? inRegion : far).add(entry);
        }
        List<EntryRecord> chosen = new ArrayList<>(near);
        if (chosen.size() < MIN_DOMAIN_ENTRIES) {
            chosen.addAll(inRegion);
        }
        if (chosen.isEmpty()) {
            chosen.addAll(far);
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
