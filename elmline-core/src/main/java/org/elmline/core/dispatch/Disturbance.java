package org.elmline.core.dispatch;

/** What a read on an engine does to the answers that are written there: each pass lasts longer by what is read in it. */
final class Disturbance {
    /** Part of an allowed pause that a pass may fill: the model does not know when a pass began. */
    static final double GAP_SHARE = 0.85;

    private Disturbance() {}

    /** Longest reading, in milliseconds, that stretches no answer's pauses there too far; without answers there is no end. */
    static double longestRead(ServerAccount server, long now) {
        int gap = server.tightestGap();
        return gap == Integer.MAX_VALUE ? Double.MAX_VALUE : GAP_SHARE * gap - pauseMillis(server, 0, now);
    }

    /** Whether reading so long would stretch the pauses of an answer there too far. */
    static boolean any(ServerAccount server, double readMillis, long now) {
        int gap = server.tightestGap();
        return gap != Integer.MAX_VALUE && pauseMillis(server, readMillis, now) > GAP_SHARE * gap;
    }

    /** Sizes, in tokens, of all answers there whose pauses would be stretched too far. */
    static long size(ServerAccount server, double readMillis, long now) {
        double pause = pauseMillis(server, readMillis, now);
        long size = 0;
        for (Share each : server.shares()) {
            int gap = each.call().gapMillis();
            if (each.primary() && gap > 0 && pause > GAP_SHARE * gap) {
                size += each.call().size();
            }
        }
        return size;
    }

    private static double pauseMillis(ServerAccount server, double readMillis, long now) {
        return server.passMillis(0, 0) + server.backlogMillis(now) + readMillis;
    }
}
