package org.elmline.core.route;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.elmline.core.backend.Announcement;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.common.Region;
import org.elmline.core.control.HostRecord;

/**
 * Determines which entry owns a backend server: rendezvous hashing ("highest random weight", Thaler and Ravishankar,
 * 1998) over the live entries that are not leaving; those of the server's failure domain come first, then its region's,
 * then all others. The order depends on the members alone, so every host computes the same one. When a candidate
 * already owns its maximum of servers, a new one goes to the next candidate, see {@link #maxServersPerOwner}.
 * Immutable.
 */
public final class Ownership {
    /**
     * No owner holds more than this multiple of the mean; 1.25 moves about one server in twenty from its first choice.
     */
    private static final double LOAD_FACTOR = 1.25;

    private static final long MULTIPLIER_1 = 0xbf58476d1ce4e5b9L;
    private static final long MULTIPLIER_2 = 0x94d049bb133111ebL;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final List<Candidate> candidates;

    public Ownership(Collection<HostRecord> members) {
        List<Candidate> found = new ArrayList<>();
        for (HostRecord each : members) {
            if (!each.leaving()) {
                found.add(new Candidate(each, hash(each.id().value())));
            }
        }
        candidates = List.copyOf(found);
    }

    /** The first candidate of a server that announced itself; empty when no entry is live. */
    public Optional<HostRecord> owner(Announcement server) {
        return owner(server.id(), server.failureDomain(), server.region());
    }

    public Optional<HostRecord> owner(BackendServerId server, FailureDomain domain, Region region) {
        long key = hash(server.value());
        Candidate best = null;
        int bestDistance = 0;
        long bestWeight = 0;
        for (Candidate each : candidates) {
            int distance = each.distance(domain, region);
            long weight = each.weight(key);
            if (best == null || ranksBefore(distance, weight, each, bestDistance, bestWeight, best)) {
                best = each;
                bestDistance = distance;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best).map(Candidate::host);
    }

    /** The entry that splits an organisation's limits; empty when none is live. */
    public Optional<HostRecord> limitSplitter(OrganisationId organisation) {
        long key = hash(organisation.value());
        return candidates.stream()
                .max(Comparator.comparingLong((Candidate each) -> each.weight(key))
                        .thenComparing(each -> each.host().id()))
                .map(Candidate::host);
    }

    /** All live entries in the order in which they should own the server. */
    public List<HostRecord> candidates(Announcement server) {
        return candidates(server.id(), server.failureDomain(), server.region());
    }

    public List<HostRecord> candidates(BackendServerId server, FailureDomain domain, Region region) {
        return rank(candidates, server, domain, region);
    }

    private static List<HostRecord> rank(
            List<Candidate> candidates, BackendServerId server, FailureDomain domain, Region region) {
        long key = hash(server.value());
        Comparator<RankedHost> order = Comparator.comparingInt(RankedHost::distance)
                .thenComparing(Comparator.comparingLong(RankedHost::weight).reversed())
                .thenComparing(ranked -> ranked.host().id());
        List<RankedHost> ranked = new ArrayList<>(candidates.size());
        for (Candidate each : candidates) {
            ranked.add(new RankedHost(each.host(), each.distance(domain, region), each.weight(key)));
        }
        ranked.sort(order);
        return ranked.stream().map(RankedHost::host).toList();
    }

    /**
     * The owner of a server, given how many servers the owners have. An unowned server goes to its first candidate
     * below the bound. An owned one stays, but moves to an earlier candidate that has less than the mean, and moves to
     * a later one when it is among those that its owner has above the bound. Between mean and bound nothing moves, so
     * servers that stay keep their owner while others come and go.
     */
    public Optional<HostRecord> owner(Announcement server, OwnedServers loads) {
        List<HostRecord> near = nearestCandidates(server);
        if (near.isEmpty()) {
            return Optional.empty();
        }
        int key = shortHash(server.id());
        int total = 0;
        boolean owned = false;
        for (HostRecord each : near) {
            List<Integer> servers = loads.serverHashes(each.id());
            total += servers.size();
            owned |= servers.contains(key);
        }
        int bound = maxServersPerOwner(owned ? total : total + 1, near.size());
        int limit = owned ? total / near.size() : bound;
        for (HostRecord each : near) {
            List<Integer> servers = loads.serverHashes(each.id());
            if (servers.contains(key) ? isWithinBound(bound, each, servers, key) : servers.size() < limit) {
                return Optional.of(each);
            }
            if (servers.contains(key)) {
                limit = bound;
            }
        }
        return Optional.of(near.get(0));
    }

    /** The candidates at the smallest distance from the server, best first. */
    private List<HostRecord> nearestCandidates(Announcement server) {
        List<Candidate> near = new ArrayList<>();
        int nearest = Integer.MAX_VALUE;
        for (Candidate each : candidates) {
            int distance = each.distance(server.failureDomain(), server.region());
            if (distance < nearest) {
                near.clear();
                nearest = distance;
            }
            if (distance == nearest) {
                near.add(each);
            }
        }
        return rank(near, server.id(), server.failureDomain(), server.region());
    }

    /** Whether the server ranks among the first {@code bound} servers of its owner. */
    private static boolean isWithinBound(int bound, HostRecord owner, List<Integer> servers, int key) {
        if (servers.size() <= bound) {
            return true;
        }
        long host = hash(owner.id().value());
        long weight = mix(host ^ key);
        return servers.stream().filter(each -> mix(host ^ each) > weight).count() < bound;
    }

    private static int distance(HostRecord host, FailureDomain domain, Region region) {
        if (host.failureDomain().equals(domain)) {
            return 0;
        }
        return host.region().equals(region) ? 1 : 2;
    }

    /** The maximum number of servers that one of {@code owners} entries may own out of {@code servers}. */
    public static int maxServersPerOwner(int servers, int owners) {
        return owners == 0 ? 0 : (int) Math.ceil(LOAD_FACTOR * servers / owners);
    }

    /** Hashes a backend server's id to the 32 bits used in an {@link OwnerSummary}. */
    public static int shortHash(BackendServerId server) {
        return (int) (hash(server.value()) >>> Integer.SIZE);
    }

    private static boolean ranksBefore(
            int distance, long weight, Candidate candidate, int bestDistance, long bestWeight, Candidate best) {
        if (distance != bestDistance) {
            return distance < bestDistance;
        }
        if (weight != bestWeight) {
            return weight > bestWeight;
        }
        return candidate.host().id().compareTo(best.host().id()) < 0;
    }

    private static long hash(String text) {
        long hash = FNV_OFFSET;
        for (byte each : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (each & 0xff)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** The finaliser of SplitMix64 (Steele, Lea, Flood, 2014). */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * MULTIPLIER_1;
        mixed = (mixed ^ (mixed >>> 27)) * MULTIPLIER_2;
        return mixed ^ (mixed >>> 31);
    }

    private record Candidate(HostRecord host, long hash) {
        long weight(long key) {
            return mix(hash ^ key);
        }

        int distance(FailureDomain domain, Region region) {
            return Ownership.distance(host, domain, region);
        }
    }

    private record RankedHost(HostRecord host, int distance, long weight) {}
}
