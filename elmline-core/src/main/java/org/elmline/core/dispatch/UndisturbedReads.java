package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BiPredicate;

/**
 * How long a part of a prompt each engine could read without disturbing its answers, the most first. Worked out once for
 * a prompt: groups of many sizes are weighed, and most are ruled out by one comparison.
 */
final class UndisturbedReads {
    private final List<Read> reads;

    private record Read(ServerAccount server, double millis) {}

    private UndisturbedReads(List<Read> reads) {
        this.reads = reads;
    }

    /** @param mayBegin whether an engine may begin with a part at a time */
    static UndisturbedReads of(List<ServerAccount> servers, BiPredicate<ServerAccount, Long> mayBegin, long now) {
        List<Read> reads = new ArrayList<>(servers.size());
        for (ServerAccount each : servers) {
            if (mayBegin.test(each, now)) {
                reads.add(new Read(each, Disturbance.longestRead(each, now)));
            }
        }
        reads.sort(Comparator.comparingDouble(Read::millis).reversed());
        return new UndisturbedReads(reads);
    }

    /** Whether so many engines bear a part of this length. */
    boolean bear(double partMillis, int engines) {
        return engines <= reads.size() && reads.get(engines - 1).millis() >= partMillis;
    }

    /** The engines that bear a part of this length. */
    List<ServerAccount> servers(double partMillis) {
        List<ServerAccount> servers = new ArrayList<>();
        for (Read each : reads) {
            if (each.millis() < partMillis) {
                break;
            }
            servers.add(each.server());
        }
        return servers;
    }
}
