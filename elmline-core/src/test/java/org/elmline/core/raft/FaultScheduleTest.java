package org.elmline.core.raft;

import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Random schedules of faults, two and more at once, against the invariants that {@link SimCluster} checks after each
 * step. After each schedule all faults end, and the cluster must commit again. jqwik shrinks a failing schedule to the
 * fewest faults.
 */
class FaultScheduleTest {
    enum Kind {
        RUN,
        PROPOSE,
        CRASH,
        CRASH_BEFORE_SYNC,
        CRASH_AFTER_SYNC,
        RESTART,
        FREEZE,
        RESUME,
        ISOLATE,
        CUT_ONE_WAY,
        HEAL,
        LOSE_MESSAGES,
        REPEAT_MESSAGES,
        TRANSFER,
        LOSE_DISK,
        COMPACT,
        READ
    }

    record Step(Kind kind, int host, int other) {}

    @Provide
    Arbitrary<List<Step>> schedules() {
        Arbitrary<Kind> kinds = Arbitraries.of(Kind.class);
        Arbitrary<Integer> hosts = Arbitraries.integers().between(0, 4);
        return Combinators.combine(kinds, hosts, hosts)
                .as(Step::new)
                .list()
                .ofMinSize(10)
                .ofMaxSize(80);
    }

    @Property(seed = "20260417", tries = 400)
    void threeReplicasKeepTheInvariants(@ForAll("schedules") List<Step> schedule, @ForAll long seed) {
        runSchedule(new SimCluster(3, seed, smallBounds()), schedule);
    }

    @Property(seed = "20260418", tries = 200)
    void fiveReplicasKeepTheInvariants(@ForAll("schedules") List<Step> schedule, @ForAll long seed) {
        runSchedule(new SimCluster(5, seed, smallBounds()), schedule);
    }

    private static RaftSettings.Builder smallBounds() {
        return RaftSettings.builder().snapshotChunkBytes(20).retainedEntries(2).maxAppendBytes(200);
    }

    private static void runSchedule(SimCluster cluster, List<Step> schedule) {
        cluster.run(2 * SimCluster.TIMEOUT_NANOS);
        for (Step each : schedule) {
            apply(cluster, each);
            cluster.run(SimCluster.TIMEOUT_NANOS / 4);
        }
        cluster.heal();
        cluster.hosts.forEach(SimHost::start);
        cluster.hosts.forEach(SimHost::clearFaults);
        cluster.run(30 * SimCluster.TIMEOUT_NANOS);
        cluster.propose();
        cluster.run(5 * SimCluster.TIMEOUT_NANOS);
        for (SimHost each : cluster.hosts) {
            cluster.require(each.appliedIndex == cluster.committedIndex(), each.id + " has caught up");
            cluster.require(cluster.committedMembership().isVoter(each.id), each.id + " is a voter again");
        }
    }

    private static void apply(SimCluster cluster, Step step) {
        SimHost host = cluster.hosts.get(step.host() % cluster.hosts.size());
        int hostIndex = step.host() % cluster.hosts.size();
        int otherIndex = step.other() % cluster.hosts.size();
        switch (step.kind()) {
            case RUN -> cluster.run(SimCluster.TIMEOUT_NANOS * (1 + step.other()));
            case PROPOSE -> cluster.propose();
            case CRASH -> host.crash();
            case CRASH_BEFORE_SYNC -> host.crashPoint = SimHost.CrashPoint.BEFORE_SYNC;
            case CRASH_AFTER_SYNC -> host.crashPoint = SimHost.CrashPoint.AFTER_SYNC;
            case RESTART -> host.start();
            case FREEZE -> host.frozen = host.node != null;
            case RESUME -> host.frozen = false;
            case ISOLATE -> cluster.isolate(hostIndex);
            case CUT_ONE_WAY -> cluster.cutLink(hostIndex, otherIndex);
            case HEAL -> cluster.heal();
            case LOSE_MESSAGES -> cluster.lossPercent = 10 * step.other();
            case REPEAT_MESSAGES -> cluster.repeatPercent = 10 * step.other();
            case LOSE_DISK -> loseDisk(cluster, host);
            default -> onRunning(host, step);
        }
    }

    private static void onRunning(SimHost host, Step step) {
        if (!host.isRunning()) {
            return;
        }
        switch (step.kind()) {
            case TRANSFER -> {
                host.node.transferLeadership(host.clock());
                host.processReady();
            }
            case COMPACT -> host.compact();
            default -> host.requestRead();
        }
    }

    /**
     * Loses the disk of a voter only if no more than a minority of the voters has then lost theirs; no replicated log
     * survives more.
     */
    private static void loseDisk(SimCluster cluster, SimHost host) {
        int tolerated = (cluster.committedMembership().voters().size() - 1) / 2;
        boolean votes = cluster.committedMembership().isVoter(host.id);
        if (votes && cluster.lostVoters() < tolerated) {
            host.loseDisk();
        }
    }
}
