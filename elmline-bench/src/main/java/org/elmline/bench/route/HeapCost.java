package org.elmline.bench.route;

import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.config.Organisation;
import org.elmline.core.engine.CacheEvents;
import org.elmline.core.fairness.OrganisationLimits;
import org.elmline.core.fairness.ShareAnswer;
import org.elmline.core.fairness.VirtualCounters;
import org.elmline.core.ledger.Ledger;
import org.elmline.core.ledger.LedgerSettings;
import org.elmline.core.route.Grant;

/**
 * Measures heap bytes per engine, grant and organisation: the growth of the used heap after garbage collection when
 * many of them are added. Objects of earlier rounds stay reachable, since collecting them would hide the growth.
 */
final class HeapCost {
    private static final int ROUNDS = 5;
    private static final int COLLECTIONS = 3;
    private static final int CACHED_BLOCKS = 4_096;
    private static final int PREFIX_BLOCKS = 8;

    private HeapCost() {}

    /** Heap bytes per object when {@code build} creates {@code count} objects together. */
    static Samples bytesEach(int count, IntFunction<Object> build) {
        double[] values = new double[ROUNDS];
        List<Object> kept = new ArrayList<>();
        long before = usedBytes();
        for (int round = 0; round < ROUNDS; round++) {
            kept.add(build.apply(count));
            long after = usedBytes();
            values[round] = (double) (after - before) / count;
            before = after;
        }
        Reference.reachabilityFence(kept);
        return new Samples(values);
    }

    static Object engines(int count) {
        Ledger ledger = new Ledger(LedgerSettings.DEFAULT);
        for (int i = 0; i < count; i++) {
            ledger.announce(BenchCluster.engine(i, 1), 0);
        }
        return ledger;
    }

    static Object enginesWithFullPrefixCache(int count) {
        Ledger ledger = (Ledger) engines(count);
        for (int i = 0; i < count; i++) {
            List<CacheEvents.Event> events = new ArrayList<>();
            for (int block = 1; block <= CACHED_BLOCKS; block++) {
                events.add(new CacheEvents.Event(block, i * 1_000_003L + block, true));
            }
            ledger.applyCacheEvents(BenchCluster.engine(i, 1).id(), new CacheEvents(events, CACHED_BLOCKS));
        }
        return ledger;
    }

    /** All on one engine, so that the heap grows by the grants alone. */
    static Object grants(int count) {
        Ledger ledger = (Ledger) engines(1);
        for (int i = 0; i < count; i++) {
            List<Long> prefix = new ArrayList<>();
            for (int block = 0; block < PREFIX_BLOCKS; block++) {
                prefix.add(i * 1_000_003L + block);
            }
            ledger.reserve(grant(i), List.copyOf(prefix), 0, 0);
        }
        return ledger;
    }

    static Object counters(int count) {
        VirtualCounters counters = new VirtualCounters();
        for (int i = 0; i < count; i++) {
            counters.charge(OrganisationId.of("org-" + i), 1, 1_000);
        }
        return counters;
    }

    static Object limits(int count) {
        OrganisationLimits limits = new OrganisationLimits(HostId.of("host-0"), Incarnation.of(1));
        for (int i = 0; i < count; i++) {
            Organisation organisation =
                    new Organisation(OrganisationId.of("org-" + i), 1, 0, List.of(), 10, 10_000, false);
            limits.applyShare(new ShareAnswer(organisation.id(), 10, 10_000, 2_000), 0, 0);
            limits.admit(organisation, 1_000, 0);
        }
        return limits;
    }

    private static Grant grant(int number) {
        return new Grant(
                AttemptId.of("host-0/" + number),
                HostId.of("host-" + number % 370),
                Incarnation.of(number % 7),
                OrganisationId.of("org-" + number % 1_400),
                BenchCluster.MODEL,
                BenchCluster.engine(0, 1).id(),
                Incarnation.of(1),
                BenchCluster.engine(0, 1).address(),
                "standin",
                3_000,
                3_200,
                0,
                300,
                30_000,
                true);
    }

    private static long usedBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
