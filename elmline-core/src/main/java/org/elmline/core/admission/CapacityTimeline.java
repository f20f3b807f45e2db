package org.elmline.core.admission;

import java.util.Arrays;

/**
 * Slots and memory of one engine that are free over time: an amount that is free now, and later changes in order of
 * time. Not safe for concurrent use.
 */
final class CapacityTimeline {
    private static final int INITIAL_CHANGES = 16;

    private double[] millis = new double[INITIAL_CHANGES];
    private int[] slots = new int[INITIAL_CHANGES];
    private long[] memoryTokens = new long[INITIAL_CHANGES];
    private int first;
    private int count;
    private double nowMillis;
    private int freeSlots;
    private long freeMemoryTokens;

    void addFree(int moreSlots, long moreMemoryTokens) {
        freeSlots += moreSlots;
        freeMemoryTokens += moreMemoryTokens;
    }

    /** Adds a change; an earlier time than the latest fit counts as that of the fit. */
    void addChange(double atMillis, int slotChange, long memoryChange) {
        if (count == millis.length) {
            makeRoom();
        }
        int index = count++;
        while (index > first && millis[index - 1] > atMillis) {
            millis[index] = millis[index - 1];
            slots[index] = slots[index - 1];
            memoryTokens[index] = memoryTokens[index - 1];
            index--;
        }
        millis[index] = atMillis;
        slots[index] = slotChange;
        memoryTokens[index] = memoryChange;
    }

    private void makeRoom() {
        int remaining = count - first;
        int capacity = Math.max(INITIAL_CHANGES, 2 * remaining);
        millis = Arrays.copyOf(Arrays.copyOfRange(millis, first, count), capacity);
        slots = Arrays.copyOf(Arrays.copyOfRange(slots, first, count), capacity);
        memoryTokens = Arrays.copyOf(Arrays.copyOfRange(memoryTokens, first, count), capacity);
        first = 0;
        count = remaining;
    }

    /** The earliest time, not before the latest fit, at which a slot and so much memory are free. */
    double earliestFit(long neededTokens) {
        double at = nowMillis;
        int freeThen = freeSlots;
        long memoryThen = freeMemoryTokens;
        for (int next = first; freeThen < 1 || memoryThen < neededTokens; next++) {
            if (next == count) {
                return Double.POSITIVE_INFINITY;
            }
            at = millis[next];
            freeThen += slots[next];
            memoryThen += memoryTokens[next];
        }
        return at;
    }

    /** Takes a slot and memory from this time, at which they must fit, until another one. */
    void take(double fromMillis, double untilMillis, long takenTokens) {
        while (first < count && millis[first] <= fromMillis) {
            freeSlots += slots[first];
            freeMemoryTokens += memoryTokens[first];
            first++;
        }
        nowMillis = Math.max(nowMillis, fromMillis);
        freeSlots--;
        freeMemoryTokens -= takenTokens;
        addChange(untilMillis, 1, takenTokens);
    }

    /** Memory that is free at a time. */
    long freeMemoryTokensAt(double atMillis) {
        long free = freeMemoryTokens;
        for (int i = first; i < count && millis[i] <= atMillis; i++) {
            free += memoryTokens[i];
        }
        return free;
    }

    int freeSlotsAt(double atMillis) {
        int free = freeSlots;
        for (int i = first; i < count && millis[i] <= atMillis; i++) {
            free += slots[i];
        }
        return free;
    }

    /** The time of the next change after this one; infinite without one. */
    double nextChangeAfter(double atMillis) {
        for (int i = first; i < count; i++) {
            if (millis[i] > atMillis) {
                return millis[i];
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
