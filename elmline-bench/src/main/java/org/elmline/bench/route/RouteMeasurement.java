package org.elmline.bench.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.elmline.core.backend.Announcement;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.control.HostRecord;
import org.elmline.core.route.ModelSummary;
import org.elmline.core.route.OwnerSummary;
import org.elmline.core.route.Ownership;
import org.elmline.wire.codec.Codecs;

/** Prints the figures of docs/measurements/route.md; that page gives the command. */
public final class RouteMeasurement {
    private static final int ROUNDS = 7;
    private static final int HOSTS = 370;
    private static final int SERVERS = 6_000;
    private static final int DOMAINS = 18;
    private static final double NANOS_PER_MILLI = 1e6;

    private RouteMeasurement() {}

    public static void main(String[] arguments) {
        System.out.println("median (least to most)");
        for (int engines : new int[] {20, 200, 2_000}) {
            PlaceCost cost = new PlaceCost(engines);
            List<Samples> samples = cost.measure();
            System.out.println("place, " + engines + " engines: ns " + samples.get(0) + ", bytes " + samples.get(1)
                    + ", not placed at once " + cost.notPlaced());
        }
        printSummaries();
        System.out.println("heap bytes an owned engine: " + HeapCost.bytesEach(5_000, HeapCost::engines));
        System.out.println("heap bytes an engine with 4,096 believed blocks: "
                + HeapCost.bytesEach(100, HeapCost::enginesWithFullPrefixCache));
        System.out.println("heap bytes an open grant: " + HeapCost.bytesEach(50_000, HeapCost::grants));
        System.out.println("heap bytes an organisation, counter: " + HeapCost.bytesEach(50_000, HeapCost::counters));
        System.out.println("heap bytes an organisation, limits: " + HeapCost.bytesEach(50_000, HeapCost::limits));
        printOwnership();
    }

    private static void printSummaries() {
        for (int models : new int[] {1, 4}) {
            for (int prefixes : new int[] {0, 16}) {
                int bytes = Codecs.MESSAGE_PACK.encode(summary(models, prefixes)).length;
                System.out.println(
                        "summary of 16 engines, " + models + " models, " + prefixes + " prefixes each: bytes " + bytes);
            }
        }
    }

    private static OwnerSummary summary(int models, int prefixes) {
        List<Integer> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS / HOSTS; i++) {
            servers.add(Ownership.shortHash(BenchCluster.engine(i, DOMAINS).id()));
        }
        List<ModelSummary> all = new ArrayList<>();
        for (int i = 0; i < models; i++) {
            List<Integer> hashes = new ArrayList<>();
            for (int j = 0; j < prefixes; j++) {
                hashes.add(ModelSummary.shortHash((i * 31L + j) * 0x9e3779b97f4a7c15L));
            }
            all.add(new ModelSummary(
                    BenchCluster.MODEL, 4, List.of(12, 150, 900, 4_000), 9_800, 90_000, 300_000, hashes));
        }
        return new OwnerSummary(HostId.of("host-123"), Incarnation.of(12), 123_456, servers, all, List.of());
    }

    private static void printOwnership() {
        List<Announcement> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(BenchCluster.engine(i, DOMAINS));
        }
        List<HostRecord> hosts = BenchCluster.hosts(HOSTS, DOMAINS);
        double[] build = new double[ROUNDS];
        double[] first = new double[ROUNDS];
        double[] bounded = new double[ROUNDS];
        Map<HostId, List<Integer>> loads = new HashMap<>();
        for (int round = -2; round < ROUNDS; round++) {
            long start = System.nanoTime();
            Ownership ownership = new Ownership(hosts);
            long built = System.nanoTime();
            int found = 0;
            for (Announcement each : servers) {
                found += ownership.owner(each).isPresent() ? 1 : 0;
            }
            long unbounded = System.nanoTime();
            for (Announcement each : servers) {
                HostId owner = ownership
                        .owner(each, host -> loads.getOrDefault(host, List.of()))
                        .orElseThrow()
                        .id();
                if (round == -2) {
                    loads.computeIfAbsent(owner, id -> new ArrayList<>()).add(Ownership.shortHash(each.id()));
                }
            }
            long end = System.nanoTime();
            if (round >= 0 && found == SERVERS) {
                build[round] = built - start;
                first[round] = (double) (unbounded - built) / SERVERS;
                bounded[round] = (double) (end - unbounded) / SERVERS;
            }
        }
        System.out.println("ownership, " + HOSTS + " hosts, " + SERVERS + " servers:");
        System.out.println("  for a membership change: ns " + new Samples(build));
        System.out.println("  for a server, first candidate: ns " + new Samples(first) + "; all servers "
                + Math.round(new Samples(first).median() * SERVERS / NANOS_PER_MILLI) + " ms");
        System.out.println("  for a server, with loads: ns " + new Samples(bounded) + "; all servers "
                + Math.round(new Samples(bounded).median() * SERVERS / NANOS_PER_MILLI) + " ms");
        int maxServers = loads.values().stream().mapToInt(List::size).max().orElse(0);
        System.out.println("  most servers of one owner: " + maxServers + ", mean " + SERVERS / HOSTS);
    }
}
