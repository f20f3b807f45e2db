package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;

/**
 * Chooses the entries that may send to a cold server while no single dispatcher paces it: those that rank first for the
 * server by rendezvous hashing, one request a second each. An equal part of the rate for each entry would be less than
 * one request in the whole cold time, and one request from each entry already exceeds the rate. Entries that see
 * different members mostly choose the same entries, as the rank of two entries does not depend on the others.
 */
public final class ColdServerShare {
    private static final Comparator<Ranked> BY_WEIGHT =
            Comparator.comparingLong(Ranked::weight).thenComparing(Ranked::entry);

    private ColdServerShare() {}

    private record Ranked(HostId entry, long weight) {}

    /** Number of entries that may send to a server that takes so many requests a second while it is cold. */
    public static int entryCount(double requestsPerSecond) {
        return (int) Math.min(Integer.MAX_VALUE, Math.floor(requestsPerSecond));
    }

    /**
     * The entries that may send to a server.
     *
     * @param entries all live entries as the caller sees them
     * @param count number of entries to choose
     */
    public static Set<HostId> firstEntries(BackendServerId server, Collection<HostId> entries, int count) {
        List<Ranked> ranked = new ArrayList<>(entries.size());
        for (HostId each : entries) {
            ranked.add(new Ranked(each, RendezvousHash.weight(server.value(), each)));
        }
        ranked.sort(BY_WEIGHT);
        Set<HostId> first = new HashSet<>();
        ranked.subList(0, Math.min(count, ranked.size())).forEach(each -> first.add(each.entry()));
        return first;
    }
}
