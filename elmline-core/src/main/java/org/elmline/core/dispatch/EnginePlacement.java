package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.elmline.core.admission.CallDemand;
import org.elmline.core.routing.BatchTiming;

/**
 * Places generations on engines that prefill and decode in passes.
 *
 * <p>One pass decodes some tokens of every answer and, in the same time, prefills what is pending: a long prompt
 * prefilled beside short answers stretches their gaps from a twentieth of a second to over a second. So short calls are
 * packed on few engines, which leaves others without tight gaps, and a long prompt is split into parts that several
 * engines prefill in parallel, each part short enough for the answers decoded beside it.
 */
final class EnginePlacement implements Placement {
    /** Prompts with a shorter prefill go to one engine whole; splitting them saves less than a pass. */
    private static final double MAX_SHORT_PREFILL_MILLIS = 110;

    /**
     * Longest prefill for each member of a group where enough engines are free: with a decode pass it stays within the
     * allowed gap of long answers (500 ms). Smaller parts cost more, as each waits for the running pass to end.
     */
    private static final double TARGET_PART_PREFILL_MILLIS = 330;

    /** Odd, with bits spread over the whole word, so that similar hashes give dissimilar tie-breakers. */
    private static final int HASH_MULTIPLIER = 0x9E3779B1;

    /** Most helpers of one prompt. */
    private static final int MAX_HELPERS = 16;

    /** Part of the time left to the aim that the predicted first token may take on an engine chosen by packing. */
    private static final double MAX_PACKED_AIM_FRACTION = 0.6;

    /** Slots left free when packing, for calls that arrive while the count is a round trip old. */
    private static final int SPARE_SLOTS = 2;

    /**
     * Prefill backlog from which on an engine gets no part: the long prompt waits at the dispatcher, where it is still
     * ordered by due time.
     */
    private static final double MAX_START_BACKLOG_MILLIS = 80;

    /**
     * Time left to the aim, less the shortest prefill, from which on a long prompt may disturb answers. With more time
     * left, a group that disturbs none may still become free.
     */
    private static final double INTERFERENCE_SLACK_MILLIS = 2_000;

    /**
     * Work of the answers that a group may disturb, as part of the prompt's own: a few short answers cost little
     * compared with a prompt of hundreds of thousands of tokens.
     */
    private static final double MAX_INTERFERENCE_FRACTION = 0.35;

    /** Rank penalty for an engine without short answers, as this call would make it unsuitable for long prompts. */
    private static final double OCCUPY_FREE_ENGINE_PENALTY = 0.5;

    /**
     * Part of the time left to the aim that a prompt may take to its first token on a group smaller than the target
     * size.
     */
    private static final double MAX_PREFILL_AIM_FRACTION = 0.6;

    /** Factor by which a split prefill takes longer than its share, as helpers work inside passes of other calls. */
    private static final double SPLIT_PREFILL_OVERHEAD = 1.1;

    @Override
    public Optional<PlacementPlan> plan(DispatchCall call, List<ServerLoad> servers, boolean partialView, long now) {
        if (servers.isEmpty()) {
            return Optional.empty();
        }
        double prefillMillis = servers.get(0).timing().prefillMillis(call.promptTokens());
        return prefillMillis <= MAX_SHORT_PREFILL_MILLIS
                ? planShort(call, servers, prefillMillis, partialView, now)
                : planLong(call, servers, prefillMillis, now);
    }

    @Override
    public boolean isLong(DispatchCall call, List<ServerLoad> servers) {
        return !servers.isEmpty()
                && servers.get(0).timing().prefillMillis(call.promptTokens()) > MAX_SHORT_PREFILL_MILLIS;
    }

    @Override
    public double serviceMillis(DispatchCall call, List<ServerLoad> servers) {
        if (servers.isEmpty()) {
            return 0;
        }
        BatchTiming timing = servers.get(0).timing();
        double passes = (double) call.answerTokens() / timing.stepsPerPass();
        double prefillMillis = timing.prefillMillis(call.promptTokens());
        double memberCount = Math.max(
                1, Math.min(Math.min(servers.size(), MAX_HELPERS + 1), prefillMillis / TARGET_PART_PREFILL_MILLIS));
        return prefillMillis / memberCount + passes * timing.passMillis(2, 2 * call.promptTokens());
    }

    @Override
    public double shortestFirstMillis(DispatchCall call, List<ServerLoad> servers) {
        BatchTiming timing = servers.get(0).timing();
        int members = isLong(call, servers) ? Math.min(MAX_HELPERS + 1, servers.size()) : 1;
        return partPrefillMillis(timing.prefillMillis(call.promptTokens()), members)
                + timing.passMillis(1, meanContextTokens(call));
    }

    @Override
    public CallDemand demand(DispatchCall call, List<ServerLoad> servers) {
        boolean isSplit = isLong(call, servers);
        double prefillMillis = servers.get(0).timing().prefillMillis(call.promptTokens());
        int targetMembers = (int) Math.ceil(prefillMillis / TARGET_PART_PREFILL_MILLIS);
        int members = isSplit ? Math.min(Math.min(targetMembers, MAX_HELPERS + 1), servers.size()) : 1;
        return new CallDemand(
                isSplit,
                members,
                partPrefillMillis(prefillMillis, members),
                serviceMillis(call, servers),
                call.memoryTokens(),
                call.aimLeftMillis() - shortestFirstMillis(call, servers));
    }

    private Optional<PlacementPlan> planShort(
            DispatchCall call, List<ServerLoad> servers, double prefillMillis, boolean partialView, long now) {
        ServerLoad best = null;
        double bestCost = Double.MAX_VALUE;
        double bestFirstMillis = 0;
        for (ServerLoad each : servers) {
            if (each.freeSlots() < 1 || each.freeMemoryTokens() < call.memoryTokens()) {
                continue;
            }
            double firstMillis = predictedFirstMillis(call, each, prefillMillis, now);
            if (firstMillis > call.firstLeftMillis()) {
                continue;
            }
            double cost = shortPlacementCost(call, each, prefillMillis, firstMillis, partialView, now);
            if (cost < bestCost) {
                best = each;
                bestCost = cost;
                bestFirstMillis = firstMillis;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        return Optional.of(PlacementPlan.single(best, call.memoryTokens(), prefillMillis, bestFirstMillis));
    }

    /**
     * Prefers engines that are in use and still meet the aim, the fullest first, and then idle ones. With a partial
     * view the emptiest come first, in a different order for each call: if dispatchers without records of each other's
     * calls packed them, they would all choose the same engine, which rejects calls beyond its slots.
     */
    private double shortPlacementCost(
            DispatchCall call,
            ServerLoad server,
            double prefillMillis,
            double firstMillis,
            boolean partialView,
            long now) {
        double pass = server.passMillis(meanContextTokens(call), 1);
        double predictedGap = pass + server.backlogMillis(now) + prefillMillis;
        boolean exceedsGap = predictedGap
                > DecodeInterference.MAX_GAP_FRACTION * Math.min(server.shortestGapMillis(), allowedGapMillis(call));
        boolean meetsAim = firstMillis <= MAX_PACKED_AIM_FRACTION * call.aimLeftMillis();
        boolean hasSpareSlots = server.freeSlots() > SPARE_SLOTS;
        double rank = 0;
        // Late is worse than an engine reserved for a long prompt: a prefill there may take seconds.
        rank += firstMillis > call.aimLeftMillis() ? 16 : 0;
        rank += server.isReservedForLong(now) ? 8 : 0;
        rank += exceedsGap ? 4 : 0;
        rank += meetsAim ? 0 : 2;
        rank += hasSpareSlots ? 0 : 1;
        rank += partialView || isUnsuitableForLong(server, now) ? 0 : OCCUPY_FREE_ENGINE_PENALTY;
        double usedFraction = (double) server.running() / server.slots();
        if (partialView) {
            return rank * 1e6 + usedFraction + tieBreaker(call, server) / server.slots();
        }
        // Among equal ranks the fullest is taken; if none meets the aim, the one with the earliest first token.
        return rank * 1e6 + (meetsAim && hasSpareSlots ? 1 - usedFraction : firstMillis);
    }

    /** A number from 0 to 1, determined by the call and the server. */
    private static double tieBreaker(DispatchCall call, ServerLoad server) {
        int hash = 31 * call.attempt().hashCode() + server.registration().id().hashCode();
        return (hash * HASH_MULTIPLIER >>> 1) / (double) Integer.MAX_VALUE;
    }

    /**
     * Chooses a group whose parts exceed no answer's allowed gap: the smallest of at least the target size, as a larger
     * group has shorter parts and so may find more suitable engines; else the largest of the smaller ones. The first
     * token must meet the aim, with a margin in a smaller group; that of a late call must only come before the caller
     * disconnects. If there is no such group, the call waits, unless its aim is near but not missed yet: then answers
     * may be disturbed.
     */
    private Optional<PlacementPlan> planLong(
            DispatchCall call, List<ServerLoad> servers, double prefillMillis, long now) {
        int maxMembers = Math.min(MAX_HELPERS + 1, servers.size());
        boolean isLate = partPrefillMillis(prefillMillis, maxMembers) >= call.aimLeftMillis();
        double maxFirstMillis = isLate ? call.firstLeftMillis() : call.aimLeftMillis();
        double maxFirstMillisOfFewer =
                isLate ? call.firstLeftMillis() : MAX_PREFILL_AIM_FRACTION * call.aimLeftMillis();
        int targetMembers = (int) Math.ceil(prefillMillis / TARGET_PART_PREFILL_MILLIS);
        PrefillHeadroom headroom = PrefillHeadroom.of(servers, EnginePlacement::canStartPart, now);
        for (int size = Math.min(targetMembers, maxMembers); size <= maxMembers; size++) {
            Optional<PlacementPlan> plan = planGroup(call, headroom, size, prefillMillis, now);
            if (plan.isPresent() && plan.get().firstMillis() <= maxFirstMillis) {
                return plan;
            }
        }
        for (int size = Math.min(targetMembers, maxMembers) - 1; size >= 1; size--) {
            Optional<PlacementPlan> plan = planGroup(call, headroom, size, prefillMillis, now);
            if (plan.isPresent() && plan.get().firstMillis() <= maxFirstMillisOfFewer) {
                return plan;
            }
        }
        boolean isAimNear =
                call.aimLeftMillis() - partPrefillMillis(prefillMillis, maxMembers) <= INTERFERENCE_SLACK_MILLIS;
        return !isLate && isAimNear ? planWithInterference(call, servers, prefillMillis, now) : Optional.empty();
    }

    /**
     * Chooses the group that meets the aim and disturbs the least work, for a prompt whose time runs out while no
     * undisturbed group is free. The disturbed work must be small compared with the prompt's own: for callers, one
     * short answer with a long gap costs less than a prompt of 400 thousand tokens that is late.
     */
    private Optional<PlacementPlan> planWithInterference(
            DispatchCall call, List<ServerLoad> servers, double prefillMillis, long now) {
        List<ServerLoad> candidates = new ArrayList<>();
        for (ServerLoad each : servers) {
            if (canStartPart(each, now)) {
                candidates.add(each);
            }
        }
        Optional<PlacementPlan> best = Optional.empty();
        double minCost = MAX_INTERFERENCE_FRACTION * call.workTokens();
        for (int size = Math.min(MAX_HELPERS + 1, candidates.size()); size >= 1; size--) {
            double partMillis = partPrefillMillis(prefillMillis, size);
            if (partMillis > call.aimLeftMillis()) {
                break;
            }
            List<InterferenceCost> leastDisturbed = leastAffected(candidates, size, partMillis, now);
            double cost = 0;
            for (InterferenceCost each : leastDisturbed) {
                cost += each.workTokens();
            }
            if (cost >= minCost) {
                continue;
            }
            Optional<PlacementPlan> plan = planExactGroup(
                    call, leastDisturbed.stream().map(InterferenceCost::server).toList(), partMillis, now);
            if (plan.isPresent() && plan.get().firstMillis() <= call.aimLeftMillis()) {
                best = plan;
                minCost = cost;
            }
        }
        return best;
    }

    /** An engine and the work, in tokens, of the answers that a part would disturb there. */
    private record InterferenceCost(ServerLoad server, long workTokens) {}

    private static List<InterferenceCost> leastAffected(
            List<ServerLoad> candidates, int count, double partMillis, long now) {
        List<InterferenceCost> costs = new ArrayList<>();
        for (ServerLoad each : candidates) {
            costs.add(new InterferenceCost(each, DecodeInterference.affectedWorkTokens(each, partMillis, now)));
        }
        costs.sort(Comparator.comparingLong(InterferenceCost::workTokens));
        return costs.subList(0, count);
    }

    /** A plan for exactly these engines, the most suitable of them being the primary. */
    private Optional<PlacementPlan> planExactGroup(
            DispatchCall call, List<ServerLoad> engines, double partMillis, long now) {
        ServerLoad primary = choosePrimary(call, engines);
        if (primary == null) {
            return Optional.empty();
        }
        List<ServerLoad> members = new ArrayList<>(engines);
        members.remove(primary);
        members.add(0, primary);
        return allocateMemory(call, members, partMillis, now);
    }

    /**
     * Whether a part of a prompt may start here: with a longer backlog, helpers' parts would overtake the calls that
     * wait for this engine.
     */
    private static boolean canStartPart(ServerLoad server, long now) {
        return server.backlogMillis(now) <= MAX_START_BACKLOG_MILLIS && server.helpedPrompts() < server.slots();
    }

    @Override
    public boolean isUnsuitableForLong(ServerLoad server, long now) {
        return DecodeInterference.exceedsGap(server, TARGET_PART_PREFILL_MILLIS, now);
    }

    private static double partPrefillMillis(double prefillMillis, int members) {
        return members == 1 ? prefillMillis : prefillMillis / members * SPLIT_PREFILL_OVERHEAD;
    }

    private Optional<PlacementPlan> planGroup(
            DispatchCall call, PrefillHeadroom headroom, int size, double prefillMillis, long now) {
        double partMillis = partPrefillMillis(prefillMillis, size);
        if (!headroom.hasRoom(partMillis, size)) {
            return Optional.empty();
        }
        List<ServerLoad> eligible = headroom.serversWithRoom(partMillis);
        ServerLoad primary = choosePrimary(call, eligible);
        if (primary == null) {
            return Optional.empty();
        }
        eligible.remove(primary);
        eligible.sort(Comparator.comparingInt(ServerLoad::running)
                .thenComparingDouble(each -> each.backlogMillis(now))
                .thenComparing(
                        Comparator.comparingLong(ServerLoad::freeMemoryTokens).reversed()));
        List<ServerLoad> members = new ArrayList<>(List.of(primary));
        members.addAll(eligible.subList(0, size - 1));
        return allocateMemory(call, members, partMillis, now);
    }

    /**
     * The engine that generates the answer: among those with memory for the whole prompt the one with the most running
     * calls, so that others stay free of decoding; if none has, the one with the most free memory. Null if none has a
     * free slot.
     */
    private static ServerLoad choosePrimary(DispatchCall call, List<ServerLoad> eligible) {
        ServerLoad best = null;
        for (ServerLoad each : eligible) {
            if (each.freeSlots() > 0 && (best == null || isBetterPrimary(call, each, best))) {
                best = each;
            }
        }
        return best;
    }

    private static boolean isBetterPrimary(DispatchCall call, ServerLoad a, ServerLoad b) {
        boolean aHasMemory = a.freeMemoryTokens() >= call.memoryTokens();
        boolean bHasMemory = b.freeMemoryTokens() >= call.memoryTokens();
        if (aHasMemory != bHasMemory) {
            return aHasMemory;
        }
        return aHasMemory ? a.running() > b.running() : a.freeMemoryTokens() > b.freeMemoryTokens();
    }

    /** Reserves memory for the prompt: on the first member as far as it has room, the rest on the others in order. */
    private Optional<PlacementPlan> allocateMemory(
            DispatchCall call, List<ServerLoad> members, double partMillis, long now) {
        List<Long> memory = new ArrayList<>();
        long remainingTokens = call.memoryTokens();
        for (ServerLoad each : members) {
            long reserved = Math.min(remainingTokens, Math.max(0, each.freeMemoryTokens()));
            memory.add(reserved);
            remainingTokens -= reserved;
        }
        if (remainingTokens > 0) {
            return Optional.empty();
        }
        double firstMillis = 0;
        for (ServerLoad each : members) {
            firstMillis = Math.max(
                    firstMillis,
                    each.backlogMillis(now) + partMillis + (each.isDecoding() ? each.passMillis(0, 0) : 0));
        }
        double decodePassMillis = members.get(0).passMillis(meanContextTokens(call), 1);
        return Optional.of(new PlacementPlan(
                List.copyOf(members), List.copyOf(memory), partMillis, firstMillis + decodePassMillis));
    }

    private static double predictedFirstMillis(DispatchCall call, ServerLoad server, double prefillMillis, long now) {
        double pass = server.passMillis(meanContextTokens(call), 1);
        double waitForPassMillis = server.isDecoding() ? server.passMillis(0, 0) / 2 : 0;
        return waitForPassMillis + server.backlogMillis(now) + prefillMillis + pass;
    }

    private static long meanContextTokens(DispatchCall call) {
        return call.promptTokens() + call.answerTokens() / 2;
    }

    private static int allowedGapMillis(DispatchCall call) {
        return call.gapMillis() > 0 ? call.gapMillis() : Integer.MAX_VALUE;
    }
}
