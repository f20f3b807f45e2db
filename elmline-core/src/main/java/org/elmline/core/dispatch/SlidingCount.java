package org.elmline.core.dispatch;

import java.util.Arrays;

/**
 * Counts events over the most recent parts of time, which are numbered in ascending order. Not safe for concurrent use.
 */
final class SlidingCount {
    private final long[] counts;
    private long newestPart;
    private long sum;

    /** @param parts number of parts over which to count, the current one included */
    SlidingCount(int parts) {
        counts = new long[parts];
    }

    void add(long part) {
        advance(part);
        counts[index(newestPart)]++;
        sum++;
    }

    long sum(long part) {
        advance(part);
        return sum;
    }

    /** Removes the newest event that still counts; does nothing without one. */
    void removeNewest(long part) {
        advance(part);
        for (long i = newestPart; i > newestPart - counts.length; i--) {
            if (counts[index(i)] > 0) {
                counts[index(i)]--;
                sum--;
                return;
            }
        }
    }

    private void advance(long part) {
        if (part - newestPart >= counts.length) {
            Arrays.fill(counts, 0);
            sum = 0;
            newestPart = part;
        }
        while (newestPart < part) {
            newestPart++;
            sum -= counts[index(newestPart)];
            counts[index(newestPart)] = 0;
        }
    }

    private int index(long part) {
        return (int) Math.floorMod(part, counts.length);
    }
}
