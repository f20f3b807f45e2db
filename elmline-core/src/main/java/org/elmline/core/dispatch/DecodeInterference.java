package org.elmline.core.dispatch;

/**
 * Predicts how a prefill on an engine delays the answers that are decoded there: each pass takes longer by the prefill
 * done in it. Times are in milliseconds, except {@code now}, which is in nanoseconds.
 */
final class DecodeInterference {
    /**
     * Part of an allowed gap that a pass may fill; the rest is a margin, as the model does not include when the running
     * pass began.
     */
    static final double MAX_GAP_FRACTION = 0.85;

    private DecodeInterference() {}

    /**
     * Longest prefill, in milliseconds, that keeps all answers there within their allowed gaps; {@link
     * Double#MAX_VALUE} if no answer there limits its gap.
     */
    static double maxPrefillMillis(ServerLoad server, long now) {
        int allowedGap = server.shortestGapMillis();
        return allowedGap == Integer.MAX_VALUE
                ? Double.MAX_VALUE
                : MAX_GAP_FRACTION * allowedGap - predictedGapMillis(server, 0, now);
    }

    /** Whether a prefill of this length would exceed the allowed gap of an answer there. */
    static boolean exceedsGap(ServerLoad server, double prefillMillis, long now) {
        int allowedGap = server.shortestGapMillis();
        return allowedGap != Integer.MAX_VALUE
                && predictedGapMillis(server, prefillMillis, now) > MAX_GAP_FRACTION * allowedGap;
    }

    /** Sum of the work, in tokens, of all answers there whose allowed gap would be exceeded. */
    static long affectedWorkTokens(ServerLoad server, double prefillMillis, long now) {
        double predictedGap = predictedGapMillis(server, prefillMillis, now);
        long totalTokens = 0;
        for (Allocation each : server.allocations()) {
            int allowedGap = each.call().gapMillis();
            if (each.isPrimary() && allowedGap > 0 && predictedGap > MAX_GAP_FRACTION * allowedGap) {
                totalTokens += each.call().workTokens();
            }
        }
        return totalTokens;
    }

    private static double predictedGapMillis(ServerLoad server, double prefillMillis, long now) {
        return server.passMillis(0, 0) + server.backlogMillis(now) + prefillMillis;
    }
}
