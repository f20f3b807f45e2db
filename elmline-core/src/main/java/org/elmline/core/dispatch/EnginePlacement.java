package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.elmline.core.routing.BatchTiming;

/**
 * Places generations on engines that read and write in passes.
 *
 * <p>One pass writes some tokens of every answer and reads, in the same time, what is to be read: a long prompt read
 * beside short answers stretches their pauses from a twentieth of a second to over a second. So short calls are packed
 * on few engines, which leaves others without tight pauses, and a long prompt is cut into parts that several engines
 * read at the same time, each part short enough for the answers written beside it.
 */
final class EnginePlacement implements Placement {
    /** Prompts that take less than this to read go to one engine whole; splitting saves less than a pass. */
    private static final double SHORT_READ_MILLIS = 110;

    /**
     * Longest reading for each member of a group where it can be helped: with a pass of writing it stays within the pauses
     * of long answers (500 ms). Smaller parts cost more, as each waits for the pass that runs.
     */
    private static final double PART_MILLIS = 330;

    /** Odd, with bits all over, so that like hashes give unlike draws. */
    private static final int SPREADER = 0x9E3779B1;

    /** Helpers that one prompt may have. */
    private static final int MAX_HELPERS = 16;

    /** Part of the time left to the aim that the predicted first token may take on an engine that is packed. */
    private static final double PACKED_AIM_SHARE = 0.6;

    /** Places left free when packing, for calls that come while the count is a round trip old. */
    private static final int SPARE_PLACES = 2;

    /** Backlog from which a long prompt waits at the dispatcher, where its turn still follows its due time. */
    private static final double START_BACKLOG_MILLIS = 80;

    /**
     * Time left to the aim, less the shortest reading, from which on a long prompt may disturb answers. Before, a group that
     * disturbs nobody may still come free.
     */
    private static final double AT_A_COST_MILLIS = 2_000;

    /**
     * Size of the answers that a group may disturb, as part of the prompt's own: a few questions are little beside a
     * manual.
     */
    private static final double COST_SHARE = 0.35;

    /** What it weighs that an engine is free of short answers now, and would be lost for long prompts by this one. */
    private static final double UNTIGHT_RANK = 0.5;

    /** Part of the time left to the aim that a huge prompt's reading may take. */
    private static final double AIM_SHARE = 0.6;

    /** Helpers read at about this part of their speed when alone, as they work inside the passes of others. */
    private static final double PART_OVERHEAD = 1.1;

    @Override
    public Optional<Plan> plan(PlaceCall call, List<ServerAccount> servers, boolean blind, long now) {
        if (servers.isEmpty()) {
            return Optional.empty();
        }
        double read = servers.get(0).timing().readMillis(call.promptTokens());
        return read <= SHORT_READ_MILLIS
                ? planShort(call, servers, read, blind, now)
                : planLong(call, servers, read, now);
    }

    @Override
    public boolean isLong(PlaceCall call, List<ServerAccount> servers) {
        return !servers.isEmpty() && servers.get(0).timing().readMillis(call.promptTokens()) > SHORT_READ_MILLIS;
    }

    @Override
    public double workMillis(PlaceCall call, List<ServerAccount> servers) {
        if (servers.isEmpty()) {
            return 0;
        }
        BatchTiming timing = servers.get(0).timing();
        double passes = (double) call.answerTokens() / timing.stepsPerPass();
        double read = timing.readMillis(call.promptTokens());
        double split = Math.max(1, Math.min(Math.min(servers.size(), MAX_HELPERS + 1), read / PART_MILLIS));
        return read / split + passes * timing.passMillis(2, 2 * call.promptTokens());
    }

    private Optional<Plan> planShort(
            PlaceCall call, List<ServerAccount> servers, double read, boolean blind, long now) {
        ServerAccount best = null;
        double bestCost = Double.MAX_VALUE;
        double bestFirst = 0;
        for (ServerAccount each : servers) {
            if (each.freePlaces() < 1 || each.freeMemory() < call.memoryTokens()) {
                continue;
            }
            double first = firstMillis(call, each, read, now);
            if (first > call.firstLeftMillis()) {
                continue;
            }
            double cost = shortCost(call, each, read, first, blind, now);
            if (cost < bestCost) {
                best = each;
                bestCost = cost;
                bestFirst = first;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        return Optional.of(Plan.single(best, call.memoryTokens(), read, bestFirst));
    }

    /**
     * Engines that are in use and still quick come first, the fullest of them before others; then idle ones. Blind, the
     * emptiest come first, in another order for each call: packed, the calls of all who don't know of each other would
     * meet on one engine, which turns down what it has no place for.
     */
    private double shortCost(PlaceCall call, ServerAccount server, double read, double first, boolean blind, long now) {
        double pass = server.passMillis(context(call), 1);
        double pause = pass + server.backlogMillis(now) + read;
        boolean harms = pause > Disturbance.GAP_SHARE * Math.min(server.tightestGap(), gap(call));
        boolean quick = first <= PACKED_AIM_SHARE * call.aimLeftMillis();
        boolean room = server.freePlaces() > SPARE_PLACES;
        double rank = 0;
        // Late is worse than on an engine that a long prompt waits for: a read may last for seconds.
        rank += first > call.aimLeftMillis() ? 16 : 0;
        rank += server.closedToShort(now) ? 8 : 0;
        rank += harms ? 4 : 0;
        rank += quick ? 0 : 2;
        rank += room ? 0 : 1;
        rank += blind || isTight(server, now) ? 0 : UNTIGHT_RANK;
        double used = (double) server.running() / server.places();
        if (blind) {
            return rank * 1e6 + used + draw(call, server) / server.places();
        }
        // Among equals the fullest is taken; where none is quick, the quickest.
        return rank * 1e6 + (quick && room ? 1 - used : first);
    }

    /** A number from 0 to 1 that the call and the server decide. */
    private static double draw(PlaceCall call, ServerAccount server) {
        int hash = 31 * call.attempt().hashCode() + server.registration().id().hashCode();
        return (hash * SPREADER >>> 1) / (double) Integer.MAX_VALUE;
    }

    /**
     * Takes the smallest group whose parts disturb nobody's answers; a larger group has shorter parts and so may use more
     * engines. Where no group is free the call waits, unless it is late already: then any undisturbed engine will do.
     */
    private Optional<Plan> planLong(PlaceCall call, List<ServerAccount> servers, double read, long now) {
        int most = Math.min(MAX_HELPERS + 1, servers.size());
        boolean late = partMillis(read, most) >= call.aimLeftMillis();
        double longest = late ? call.firstLeftMillis() : call.aimLeftMillis();
        double longestOfFewer = late ? call.firstLeftMillis() : AIM_SHARE * call.aimLeftMillis();
        int gentle = (int) Math.ceil(read / PART_MILLIS);
        UndisturbedReads reads = UndisturbedReads.of(servers, EnginePlacement::mayBegin, now);
        for (int size = Math.min(gentle, most); size <= most; size++) {
            Optional<Plan> plan = group(call, reads, size, read, now);
            if (plan.isPresent() && plan.get().firstMillis() <= longest) {
                return plan;
            }
        }
        for (int size = Math.min(gentle, most) - 1; size >= 1; size--) {
            Optional<Plan> plan = group(call, reads, size, read, now);
            if (plan.isPresent() && plan.get().firstMillis() <= longestOfFewer) {
                return plan;
            }
        }
        boolean soonLate = call.aimLeftMillis() - partMillis(read, most) <= AT_A_COST_MILLIS;
        return !late && soonLate ? planAtACost(call, servers, read, now) : Optional.empty();
    }

    /**
     * The group that is in time and disturbs the least, for a prompt whose time runs out while no group is free. What it
     * disturbs must be small beside the prompt itself: for callers, one question with a long pause is less than a manual
     * of 400 thousand tokens that comes late.
     */
    private Optional<Plan> planAtACost(PlaceCall call, List<ServerAccount> servers, double read, long now) {
        List<ServerAccount> able = new ArrayList<>();
        for (ServerAccount each : servers) {
            if (mayBegin(each, now)) {
                able.add(each);
            }
        }
        Optional<Plan> best = Optional.empty();
        double least = COST_SHARE * call.size();
        for (int size = Math.min(MAX_HELPERS + 1, able.size()); size >= 1; size--) {
            double part = partMillis(read, size);
            if (part > call.aimLeftMillis()) {
                break;
            }
            List<Cost> cheapest = cheapest(able, size, part, now);
            double cost = 0;
            for (Cost each : cheapest) {
                cost += each.size();
            }
            if (cost >= least) {
                continue;
            }
            Optional<Plan> plan = led(call, cheapest.stream().map(Cost::server).toList(), part, now);
            if (plan.isPresent() && plan.get().firstMillis() <= call.aimLeftMillis()) {
                best = plan;
                least = cost;
            }
        }
        return best;
    }

    /** An engine and the size of the answers that a part would disturb there. */
    private record Cost(ServerAccount server, long size) {}

    private static List<Cost> cheapest(List<ServerAccount> able, int count, double part, long now) {
        List<Cost> costs = new ArrayList<>();
        for (ServerAccount each : able) {
            costs.add(new Cost(each, Disturbance.size(each, part, now)));
        }
        costs.sort(Comparator.comparingLong(Cost::size));
        return costs.subList(0, count);
    }

    /** A plan for exactly these engines, with the best of them answering. */
    private Optional<Plan> led(PlaceCall call, List<ServerAccount> engines, double part, long now) {
        ServerAccount primary = primary(call, engines);
        if (primary == null) {
            return Optional.empty();
        }
        List<ServerAccount> members = new ArrayList<>(engines);
        members.remove(primary);
        members.add(0, primary);
        return memory(call, members, part, now);
    }

    /** Whether a part of a group's reading may begin: helpers' parts would overtake what waits there. */
    private static boolean mayBegin(ServerAccount server, long now) {
        return server.backlogMillis(now) <= START_BACKLOG_MILLIS && server.helping() < server.places();
    }

    @Override
    public boolean isTight(ServerAccount server, long now) {
        return Disturbance.any(server, PART_MILLIS, now);
    }

    private static double partMillis(double read, int members) {
        return members == 1 ? read : read / members * PART_OVERHEAD;
    }

    private Optional<Plan> group(PlaceCall call, UndisturbedReads reads, int size, double read, long now) {
        double part = partMillis(read, size);
        if (!reads.bear(part, size)) {
            return Optional.empty();
        }
        List<ServerAccount> fit = reads.servers(part);
        ServerAccount primary = primary(call, fit);
        if (primary == null) {
            return Optional.empty();
        }
        fit.remove(primary);
        fit.sort(Comparator.comparingInt(ServerAccount::running)
                .thenComparingDouble(each -> each.backlogMillis(now))
                .thenComparing(
                        Comparator.comparingLong(ServerAccount::freeMemory).reversed()));
        List<ServerAccount> members = new ArrayList<>(List.of(primary));
        members.addAll(fit.subList(0, size - 1));
        return memory(call, members, part, now);
    }

    /**
     * The engine that answers: among those that hold the whole prompt the one that writes most already, so that others
     * stay free of writers; where none does, the one with the most memory.
     */
    private static ServerAccount primary(PlaceCall call, List<ServerAccount> fit) {
        ServerAccount best = null;
        for (ServerAccount each : fit) {
            if (each.freePlaces() > 0 && (best == null || isBetterPrimary(call, each, best))) {
                best = each;
            }
        }
        return best;
    }

    private static boolean isBetterPrimary(PlaceCall call, ServerAccount a, ServerAccount b) {
        boolean aHolds = a.freeMemory() >= call.memoryTokens();
        boolean bHolds = b.freeMemory() >= call.memoryTokens();
        if (aHolds != bHolds) {
            return aHolds;
        }
        return aHolds ? a.running() > b.running() : a.freeMemory() > b.freeMemory();
    }

    /** Where the prompt is kept: with the first member as far as it has room, the rest reserved on the others in turn. */
    private Optional<Plan> memory(PlaceCall call, List<ServerAccount> members, double part, long now) {
        List<Long> memory = new ArrayList<>();
        long left = call.memoryTokens();
        for (ServerAccount each : members) {
            long share = Math.min(left, Math.max(0, each.freeMemory()));
            memory.add(share);
            left -= share;
        }
        if (left > 0) {
            return Optional.empty();
        }
        double first = 0;
        for (ServerAccount each : members) {
            first = Math.max(first, each.backlogMillis(now) + part + (each.writes() ? each.passMillis(0, 0) : 0));
        }
        double write = members.get(0).passMillis(context(call), 1);
        return Optional.of(new Plan(List.copyOf(members), List.copyOf(memory), part, first + write));
    }

    private static double firstMillis(PlaceCall call, ServerAccount server, double read, long now) {
        double pass = server.passMillis(context(call), 1);
        double started = server.writes() ? server.passMillis(0, 0) / 2 : 0;
        return started + server.backlogMillis(now) + read + pass;
    }

    private static long context(PlaceCall call) {
        return call.promptTokens() + call.answerTokens() / 2;
    }

    private static int gap(PlaceCall call) {
        return call.gapMillis() > 0 ? call.gapMillis() : Integer.MAX_VALUE;
    }
}
