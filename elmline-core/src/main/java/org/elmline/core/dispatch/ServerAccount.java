package org.elmline.core.dispatch;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

import org.elmline.core.registry.Registration;
import org.elmline.core.routing.BatchTiming;

/** What a dispatcher has granted on one backend server, and what follows for the next call. */
final class ServerAccount {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Part of an engine's memory that grants may fill: the rest is for rounding to blocks. */
    private static final double USABLE_MEMORY = 0.96;

    private final ServerHealth health = new ServerHealth();
    private final RequestBudget requests = new RequestBudget();
    private final Map<String, Share> shares = new LinkedHashMap<>();
    private Registration registration;
    private BatchTiming timing;
    private boolean present = true;
    private long readFreeAt;
    private long closedToShortUntil = Long.MIN_VALUE;

    /** Sums over the shares: each decision asks every server for them. */
    private int running;

    private int writing;
    private int reading;
    private long usedMemory;
    private long context;
    private int tightestGap = Integer.MAX_VALUE;

    ServerAccount(Registration registration, BatchTiming timing, long now) {
        this.registration = registration;
        this.timing = timing;
        this.readFreeAt = now;
    }

    void update(Registration next, BatchTiming nextTiming) {
        registration = next;
        timing = nextTiming;
        present = true;
    }

    Registration registration() {
        return registration;
    }

    BatchTiming timing() {
        return timing;
    }

    /** False once the server has left or fallen silent; its running calls still count. */
    boolean present() {
        return present;
    }

    void absent() {
        present = false;
    }

    ServerHealth health() {
        return health;
    }

    /** What it may be sent, where it names a limit. */
    RequestBudget requests() {
        return requests;
    }

    Collection<Share> shares() {
        return shares.values();
    }

    boolean idle() {
        return shares.isEmpty();
    }

    int places() {
        return Math.max(1, timing == null ? registration.places() : Math.min(timing.places(), registration.places()));
    }

    /** Calls that this server answers itself. */
    int running() {
        return running;
    }

    int freePlaces() {
        return places() - running();
    }

    /** Prompts that it reads a part of for others. */
    int helping() {
        return shares.size() - running();
    }

    long freeMemory() {
        return (long) (timing.memoryTokens() * USABLE_MEMORY) - usedMemory;
    }

    /** Milliseconds of reading that is granted and, by the model, not done. */
    double backlogMillis(long now) {
        return Math.max(0, (readFreeAt - now) / NANOS_PER_MILLI);
    }

    /** Milliseconds of a pass with all granted calls writing and one more. */
    double passMillis(long moreContextTokens, int moreWriters) {
        return timing.passMillis(running + moreWriters, context + moreContextTokens);
    }

    boolean writes() {
        return writing > 0;
    }

    /** The shortest pause that a call here allows between events, in milliseconds; a large number without calls. */
    int tightestGap() {
        return tightestGap;
    }

    /**
     * Takes a grant. While answers are written a read begins only with the next pass, so half a pass is added where none
     * waited: left out, the next part would be granted as the last one still reads, and both would stretch one pause.
     */
    void grant(Share share, long now) {
        double pass = timing != null && backlogMillis(now) == 0 && writes() ? passMillis(0, 0) / 2 : 0;
        Share before = shares.put(share.call().attempt(), share);
        if (before != null) {
            count(before, -1);
        }
        count(share, 1);
        readFreeAt = Math.max(readFreeAt, now) + (long) ((pass + share.readMillis()) * NANOS_PER_MILLI);
    }

    void startWriting(String attempt, long now) {
        Share share = shares.get(attempt);
        if (share == null) {
            return;
        }
        if (share.reading()) {
            count(share, -1);
            share.startWriting();
            count(share, 1);
        }
        settle(now);
    }

    void end(String attempt, long now) {
        Share share = shares.remove(attempt);
        if (share != null) {
            count(share, -1);
            settle(now);
        }
    }

    private void count(Share share, int sign) {
        usedMemory += sign * share.memoryTokens();
        reading += share.reading() ? sign : 0;
        if (!share.primary()) {
            return;
        }
        running += sign;
        writing += share.reading() ? 0 : sign;
        context += sign * share.contextTokens();
        int gap = share.call().gapMillis();
        if (sign > 0 && gap > 0) {
            tightestGap = Math.min(tightestGap, gap);
        } else if (gap == tightestGap) {
            tightestGap = shortestGap();
        }
    }

    private int shortestGap() {
        int shortest = Integer.MAX_VALUE;
        for (Share each : shares.values()) {
            if (each.primary() && each.call().gapMillis() > 0) {
                shortest = Math.min(shortest, each.call().gapMillis());
            }
        }
        return shortest;
    }

    /** Corrects the model by what was seen: with nobody reading there is no backlog. */
    private void settle(long now) {
        if (reading == 0) {
            readFreeAt = now;
        }
    }

    /** Keeps new short calls away, so that a long prompt that waits finds an engine without short writers. */
    void closeToShort(long until) {
        closedToShortUntil = until;
    }

    boolean closedToShort(long now) {
        return closedToShortUntil != Long.MIN_VALUE && now - closedToShortUntil < 0;
    }
}
