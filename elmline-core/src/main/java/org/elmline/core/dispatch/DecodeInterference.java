package org.elmline.core.dispatch;

/** What a read on an engine does to the answers that are written there: each pass lasts longer by what is read in it. */
final class DecodeInterference {
    /** Part of an allowed pause that a pass may fill: the model does not know when a pass began. */
    static final double MAX_GAP_FRACTION = 0.85;

    private DecodeInterference() {}

    /** Longest reading, in milliseconds, that stretches no answer's pauses there too far; without answers there is no end. */
    static double maxPrefillMillis(ServerLoad server, long now) {
        int gap = server.shortestGapMillis();
        return gap == Integer.MAX_VALUE
                ? Double.MAX_VALUE
                : MAX_GAP_FRACTION * gap - predictedGapMillis(server, 0, now);
    }

    /** Whether reading so long would stretch the pauses of an answer there too far. */
    static boolean exceedsGap(ServerLoad server, double readMillis, long now) {
        int gap = server.shortestGapMillis();
        return gap != Integer.MAX_VALUE && predictedGapMillis(server, readMillis, now) > MAX_GAP_FRACTION * gap;
    }

    /** Sizes, in tokens, of all answers there whose pauses would be stretched too far. */
    static long affectedWorkTokens(ServerLoad server, double readMillis, long now) {
        double pause = predictedGapMillis(server, readMillis, now);
        long size = 0;
        for (Allocation each : server.allocations()) {
            int gap = each.call().gapMillis();
            if (each.isPrimary() && gap > 0 && pause > MAX_GAP_FRACTION * gap) {
                size += each.call().workTokens();
            }
        }
        return size;
    }

    private static double predictedGapMillis(ServerLoad server, double readMillis, long now) {
        return server.passMillis(0, 0) + server.backlogMillis(now) + readMillis;
    }
}
