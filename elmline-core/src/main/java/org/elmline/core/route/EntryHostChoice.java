package org.elmline.core.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.Region;
import org.elmline.core.control.HostRecord;

/**
 * Selects the entries that a caller should use. The first is drawn uniformly from the live entries of the caller's
 * region, which spreads callers without a load balancer; the next is in another failure domain, so that the loss of one
 * domain leaves each caller an address.
 */
public final class EntryHostChoice {
    private EntryHostChoice() {}

    /** Up to {@code limit} entries, best first; fewer when fewer are live. */
    public static List<HostRecord> choose(
            Collection<HostRecord> members, Region callerRegion, int limit, Random random) {
        List<HostRecord> sameRegion = new ArrayList<>();
        List<HostRecord> otherRegions = new ArrayList<>();
        for (HostRecord each : members) {
            if (!each.leaving()) {
                (each.region().equals(callerRegion) ? sameRegion : otherRegions).add(each);
            }
        }
        Collections.shuffle(sameRegion, random);
        Collections.shuffle(otherRegions, random);
        List<HostRecord> chosen = new ArrayList<>();
        addAlternatingDomains(sameRegion, chosen, limit);
        addAlternatingDomains(otherRegions, chosen, limit);
        ensureTwoDomains(chosen, otherRegions);
        return chosen;
    }

    /** Adds entries in their order, preferring one of another failure domain than the entry added before. */
    private static void addAlternatingDomains(List<HostRecord> from, List<HostRecord> chosen, int limit) {
        List<HostRecord> remaining = new ArrayList<>(from);
        while (chosen.size() < limit && !remaining.isEmpty()) {
            chosen.add(remaining.remove(indexOfOtherDomain(remaining, chosen)));
        }
    }

    private static int indexOfOtherDomain(List<HostRecord> remaining, List<HostRecord> chosen) {
        if (chosen.isEmpty()) {
            return 0;
        }
        FailureDomain last = chosen.get(chosen.size() - 1).failureDomain();
        for (int i = 0; i < remaining.size(); i++) {
            if (!remaining.get(i).failureDomain().equals(last)) {
                return i;
            }
        }
        return 0;
    }

    /**
     * Replaces the last entry by one of another region when all chosen ones are in one failure domain: if that domain
     * is lost, the caller would have no address left.
     */
    private static void ensureTwoDomains(List<HostRecord> chosen, List<HostRecord> otherRegions) {
        long domains = chosen.stream().map(HostRecord::failureDomain).distinct().count();
        if (domains == 1 && chosen.size() > 1 && !otherRegions.isEmpty()) {
            chosen.set(chosen.size() - 1, otherRegions.get(0));
        }
    }
}
