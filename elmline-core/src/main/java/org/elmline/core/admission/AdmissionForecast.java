package org.elmline.core.admission;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * Predicts when calls can begin on engines, from what the engines hold now and the calls that precede. Times are in
 * milliseconds from the moment of the outlooks. A short call begins on the engine that has a slot and memory first; a split prompt begins
 * when a group of engines is free of prefill and holds its memory. A short call may begin before split prompts that
 * were added earlier, as placement does not keep engines idle for them. Not safe for concurrent use.
 */
public final class AdmissionForecast {
    /** Most members of a group whose memory is searched for room; groups have up to this many. */
    private static final int MAX_MEMBERS = 17;

    /** In the order in which they may prefill a part of a long prompt. */
    private List<Engine> engines = new ArrayList<>();

    private static final class Engine {
        private final CapacityTimeline capacity = new CapacityTimeline();
        private double prefillFreeMillis;
        private double splitFreeMillis;

        /** No call begins here earlier, however little memory it needs; spares most engines the search for memory. */
        private double notBeforeMillis;

        Engine(EngineOutlook outlook) {
            capacity.addFree(outlook.freeSlots(), outlook.freeMemoryTokens());
            outlook.ends().forEach(each -> capacity.addChange(each.millis(), each.slots(), each.memoryTokens()));
            prefillFreeMillis = outlook.prefillFreeMillis();
            splitFreeMillis = outlook.splitFreeMillis();
            updateNotBefore();
        }

        private void updateNotBefore() {
            notBeforeMillis = Math.max(prefillFreeMillis, capacity.earliestFit(0));
        }
    }

    /** The engines of a split prompt and its beginning. */
    private record Group(double beginMillis, int size) {}

    /** Begins anew with these engines. */
    public void reset(List<EngineOutlook> outlooks) {
        engines = new ArrayList<>(outlooks.size());
        outlooks.forEach(each -> engines.add(new Engine(each)));
        engines.sort(Comparator.comparingDouble(each -> each.splitFreeMillis));
    }

    /** Predicted beginning of a call that comes after those added; infinite if it never fits. */
    public double predict(CallDemand call) {
        if (call.isSplit()) {
            return group(call).beginMillis();
        }
        Engine best = firstToFit(call);
        return best == null ? Double.POSITIVE_INFINITY : beginOn(best, call);
    }

    /** Adds a call, which begins as predicted. Returns its beginning. */
    public double add(CallDemand call) {
        return call.isSplit() ? addSplit(call) : addWhole(call);
    }

    private double addWhole(CallDemand call) {
        Engine engine = firstToFit(call);
        if (engine == null) {
            return Double.POSITIVE_INFINITY;
        }
        double begin = beginOn(engine, call);
        engine.capacity.take(begin, begin + call.engineMillis(), call.memoryTokens());
        engine.prefillFreeMillis = begin + call.partMillis();
        engine.updateNotBefore();
        return begin;
    }

    private Engine firstToFit(CallDemand call) {
        Engine best = null;
        double bestMillis = Double.POSITIVE_INFINITY;
        for (Engine each : engines) {
            double begin = each.notBeforeMillis < bestMillis ? beginOn(each, call) : Double.POSITIVE_INFINITY;
            if (begin < bestMillis) {
                best = each;
                bestMillis = begin;
            }
            if (bestMillis <= 0) {
                break;
            }
        }
        return best;
    }

    private static double beginOn(Engine engine, CallDemand call) {
        return Math.max(engine.prefillFreeMillis, engine.capacity.earliestFit(call.memoryTokens()));
    }

    /** The smallest group, of at least the demanded size, that has the memory, at the earliest time. */
    private Group group(CallDemand call) {
        int wanted = Math.min(call.members(), engines.size());
        int most = Math.min(Math.max(MAX_MEMBERS, wanted), engines.size());
        if (wanted == 0) {
            return new Group(Double.POSITIVE_INFINITY, 0);
        }
        double begin = engines.get(wanted - 1).splitFreeMillis;
        while (!Double.isInfinite(begin)) {
            long memoryTokens = 0;
            int freeSlots = 0;
            double next = Double.POSITIVE_INFINITY;
            for (int size = 1; size <= most; size++) {
                Engine member = engines.get(size - 1);
                if (member.splitFreeMillis > begin) {
                    next = Math.min(next, member.splitFreeMillis);
                    break;
                }
                memoryTokens += Math.max(0, member.capacity.freeMemoryTokensAt(begin));
                freeSlots += Math.max(0, member.capacity.freeSlotsAt(begin));
                next = Math.min(next, member.capacity.nextChangeAfter(begin));
                if (size >= wanted && memoryTokens >= call.memoryTokens() && freeSlots > 0) {
                    return new Group(begin, size);
                }
            }
            begin = next;
        }
        return new Group(begin, 0);
    }

    private double addSplit(CallDemand call) {
        Group group = group(call);
        double begin = group.beginMillis();
        if (Double.isInfinite(begin)) {
            return begin;
        }
        List<Engine> members = engines.subList(0, group.size());
        long remainingTokens = call.memoryTokens();
        boolean needsSlot = true;
        for (Engine each : members) {
            boolean generates = needsSlot && each.capacity.freeSlotsAt(begin) > 0;
            needsSlot &= !generates;
            long taken = Math.min(remainingTokens, Math.max(0, each.capacity.freeMemoryTokensAt(begin)));
            remainingTokens -= taken;
            if (generates || taken > 0) {
                each.capacity.addChange(begin, generates ? -1 : 0, -taken);
                each.capacity.addChange(begin + call.engineMillis(), generates ? 1 : 0, taken);
            }
            each.splitFreeMillis = begin + call.partMillis();
        }
        moveBack(group.size(), begin + call.partMillis());
        return begin;
    }

    /** Restores the order after the first engines have got a later time, the same for all of them. */
    private void moveBack(int moved, double untilMillis) {
        int end = moved;
        while (end < engines.size() && engines.get(end).splitFreeMillis < untilMillis) {
            end++;
        }
        Collections.rotate(engines.subList(0, end), -moved);
    }
}
