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

    /** Up to {@code most} entries, best first; fewer when fewer are live. */
    public static List<HostRecord> choose(
            Collection<HostRecord> members, Region callerRegion, int most, Random random) {
        List<HostRecord> near = new ArrayList<>();
        List<HostRecord> far = new ArrayList<>();
        for (HostRecord each : members) {
            if (!each.leaving()) {
                (each.region().equals(callerRegion) ? near : far).add(each);
            }
        }
        Collections.shuffle(near, random);
        Collections.shuffle(far, random);
        List<HostRecord> chosen = new ArrayList<>();
        addAlternatingDomains(near, chosen, most);
        addAlternatingDomains(far, chosen, most);
        ensureTwoDomains(chosen, far);
        return chosen;
    }

    /** Adds entries at random, each from another failure domain than the one before while there is one. */
    private static void addAlternatingDomains(List<HostRecord> from, List<HostRecord> chosen, int most) {
        List<HostRecord> left = new ArrayList<>(from);
        while (chosen.size() < most && !left.isEmpty()) {
            chosen.add(left.remove(indexOfOtherDomain(left, chosen)));
        }
    }

    private static int indexOfOtherDomain(List<HostRecord> left, List<HostRecord> chosen) {
        if (chosen.isEmpty()) {
            return 0;
        }
        FailureDomain last = chosen.get(chosen.size() - 1).failureDomain();
        for (int i = 0; i < left.size(); i++) {
            if (!left.get(i).failureDomain().equals(last)) {
                return i;
            }
        }
        return 0;
    }

    /**
     * Replaces the last entry by one of another region when all chosen ones are in one failure domain: if that domain
     * is lost, the caller would have no address left.
     */
    private static void ensureTwoDomains(List<HostRecord> chosen, List<HostRecord> far) {
        long domains = chosen.stream().map(HostRecord::failureDomain).distinct().count();
        if (domains == 1 && chosen.size() > 1 && !far.isEmpty()) {
            chosen.set(chosen.size() - 1, far.get(0));
        }
    }
}
