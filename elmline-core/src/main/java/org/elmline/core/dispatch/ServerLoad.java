package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.elmline.core.admission.EngineOutlook;
import org.elmline.core.registry.Registration;
import org.elmline.core.routing.BatchTiming;

/**
 * The calls that a dispatcher has granted on one backend server, and the load predicted from them. Not safe for
 * concurrent use.
 */
final class ServerLoad {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Part of an engine's memory that grants may fill; the rest covers rounding up to blocks. */
    private static final double USABLE_MEMORY_FRACTION = 0.96;

    private final ServerHealth health = new ServerHealth();
    private final RequestPacer requestPacer = new RequestPacer();
    private final Map<String, Allocation> allocations = new LinkedHashMap<>();
    private Registration registration;
    private BatchTiming timing;
    private boolean isAvailable = true;
    private boolean isLeaving;
    private long prefillFreeAtNanos;
    private long reservedForLongUntilNanos = Long.MIN_VALUE;

    /** Sums over the allocations, maintained incrementally as each decision reads them for every server. */
    private int running;

    private int decodingCount;
    private int prefillingCount;
    private long usedMemoryTokens;
    private long contextTokens;
    private int shortestGapMillis = Integer.MAX_VALUE;

    ServerLoad(Registration registration, BatchTiming timing, long now) {
        this.registration = registration;
        this.timing = timing;
        this.prefillFreeAtNanos = now;
    }

    void update(Registration newRegistration, BatchTiming newTiming) {
        registration = newRegistration;
        timing = newTiming;
        isAvailable = true;
    }

    Registration registration() {
        return registration;
    }

    BatchTiming timing() {
        return timing;
    }

    /** False once the server has left or its heartbeats have expired; its running calls still count. */
    boolean isAvailable() {
        return isAvailable;
    }

    void markUnavailable() {
        isAvailable = false;
    }

    /** Records that the server states that it leaves; this start of it gets no more calls. */
    void markLeaving() {
        isLeaving = true;
    }

    /** Whether calls may be placed here. */
    boolean acceptsCalls() {
        return isAvailable && !isLeaving;
    }

    ServerHealth health() {
        return health;
    }

    /** Paces requests if the server reports a rate limit. */
    RequestPacer requestPacer() {
        return requestPacer;
    }

    Collection<Allocation> allocations() {
        return allocations.values();
    }

    boolean isIdle() {
        return allocations.isEmpty();
    }

    int slots() {
        return Math.max(1, timing == null ? registration.places() : Math.min(timing.slots(), registration.places()));
    }

    /** Calls whose answers this server generates. */
    int running() {
        return running;
    }

    int freeSlots() {
        return slots() - running();
    }

    /** Prompts of which this server prefills a part for another engine. */
    int helpedPrompts() {
        return allocations.size() - running();
    }

    /** Memory reservations that calls on other engines hold here; each is renewed once a second. */
    int heldReservations() {
        int held = 0;
        for (Allocation each : allocations.values()) {
            held += !each.isPrimary() && each.memoryTokens() > 0 ? 1 : 0;
        }
        return held;
    }

    long freeMemoryTokens() {
        return (long) (timing.memoryTokens() * USABLE_MEMORY_FRACTION) - usedMemoryTokens;
    }

    /** Milliseconds of prefill that are granted and, by the model, not done yet. */
    double backlogMillis(long now) {
        return Math.max(0, (prefillFreeAtNanos - now) / NANOS_PER_MILLI);
    }

    /** Milliseconds of a decode pass with all granted calls and so many more. */
    double passMillis(long moreContextTokens, int moreDecoding) {
        return timing.passMillis(running + moreDecoding, contextTokens + moreContextTokens);
    }

    boolean isDecoding() {
        return decodingCount > 0;
    }

    /**
     * The shortest gap that a call here allows between events, in milliseconds; {@link Integer#MAX_VALUE} without such
     * calls.
     */
    int shortestGapMillis() {
        return shortestGapMillis;
    }

    /**
     * Counts a grant. While answers are decoded a prefill starts only with the next pass, so half a pass is added if no
     * prefill was pending. Without it the next part would be granted while the previous one is still prefilled, and
     * both would stretch the same gap.
     */
    void grant(Allocation allocation, long now) {
        double waitForPassMillis = timing != null && backlogMillis(now) == 0 && isDecoding() ? passMillis(0, 0) / 2 : 0;
        Allocation previous = allocations.put(allocation.call().attempt(), allocation);
        if (previous != null) {
            addToTotals(previous, -1);
        }
        addToTotals(allocation, 1);
        prefillFreeAtNanos = Math.max(prefillFreeAtNanos, now)
                + (long) ((waitForPassMillis + allocation.prefillMillis()) * NANOS_PER_MILLI);
    }

    void startDecoding(String attempt, long now) {
        Allocation allocation = allocations.get(attempt);
        if (allocation == null) {
            return;
        }
        if (allocation.isPrefilling()) {
            addToTotals(allocation, -1);
            allocation.startDecoding(now);
            addToTotals(allocation, 1);
        }
        clearBacklogIfNotPrefilling(now);
    }

    void end(String attempt, long now) {
        Allocation allocation = allocations.remove(attempt);
        if (allocation != null) {
            addToTotals(allocation, -1);
            clearBacklogIfNotPrefilling(now);
        }
    }

    private void addToTotals(Allocation allocation, int sign) {
        usedMemoryTokens += sign * allocation.memoryTokens();
        prefillingCount += allocation.isPrefilling() ? sign : 0;
        if (!allocation.isPrimary()) {
            return;
        }
        running += sign;
        decodingCount += allocation.isPrefilling() ? 0 : sign;
        contextTokens += sign * allocation.meanContextTokens();
        int gap = allocation.call().gapMillis();
        if (sign > 0 && gap > 0) {
            shortestGapMillis = Math.min(shortestGapMillis, gap);
        } else if (gap == shortestGapMillis) {
            shortestGapMillis = computeShortestGapMillis();
        }
    }

    private int computeShortestGapMillis() {
        int shortest = Integer.MAX_VALUE;
        for (Allocation each : allocations.values()) {
            if (each.isPrimary() && each.call().gapMillis() > 0) {
                shortest = Math.min(shortest, each.call().gapMillis());
            }
        }
        return shortest;
    }

    /** What is free here and will be, by the timing model and the passes that the current calls have. */
    EngineOutlook outlook(Placement placement, long now) {
        double backlogMillis = backlogMillis(now);
        double passMillis = passMillis(0, 0);
        double splitFreeMillis = backlogMillis;
        boolean isUnsuitableForLong = placement.isUnsuitableForLong(this, now);
        List<EngineOutlook.End> ends = new ArrayList<>(allocations.size());
        for (Allocation each : allocations.values()) {
            double endMillis = endMillis(each, backlogMillis, passMillis, now);
            if (each.isPrimary() || each.memoryTokens() > 0) {
                ends.add(new EngineOutlook.End(endMillis, each.isPrimary() ? 1 : 0, each.memoryTokens()));
            }
            if (isUnsuitableForLong && each.isPrimary() && each.call().gapMillis() == shortestGapMillis) {
                splitFreeMillis = Math.max(splitFreeMillis, endMillis);
            }
        }
        return new EngineOutlook(freeSlots(), freeMemoryTokens(), backlogMillis, splitFreeMillis, ends);
    }

    private double endMillis(Allocation allocation, double backlogMillis, double passMillis, long now) {
        double decodeMillis =
                Math.max(1, (double) allocation.call().answerTokens() / timing.stepsPerPass()) * passMillis;
        return allocation.isPrefilling()
                ? backlogMillis + decodeMillis
                : Math.max(passMillis / 2, decodeMillis - (now - allocation.decodingSinceNanos()) / NANOS_PER_MILLI);
    }

    /** Corrects the predicted backlog: it is zero when no call is prefilled. */
    private void clearBacklogIfNotPrefilling(long now) {
        if (prefillingCount == 0) {
            prefillFreeAtNanos = now;
        }
    }

    /**
     * Ranks this engine low for new short calls, so that a waiting long prompt finds an engine without short answers.
     */
    void reserveForLong(long untilNanos) {
        reservedForLongUntilNanos = untilNanos;
    }

    boolean isReservedForLong(long now) {
        return reservedForLongUntilNanos != Long.MIN_VALUE && now - reservedForLongUntilNanos < 0;
    }
}
