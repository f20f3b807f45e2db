package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BiPredicate;

/**
 * The longest prefill that each engine can take without exceeding its answers' allowed gaps, in descending order.
 * Computed once per prompt, so that most group sizes are ruled out by one comparison.
 */
final class PrefillHeadroom {
    private final List<ServerHeadroom> headrooms;

    private record ServerHeadroom(ServerLoad server, double maxPrefillMillis) {}

    private PrefillHeadroom(List<ServerHeadroom> sorted) {
        this.headrooms = sorted;
    }

    /** @param canStart whether an engine may start a part at a time */
    static PrefillHeadroom of(List<ServerLoad> servers, BiPredicate<ServerLoad, Long> canStart, long now) {
        List<ServerHeadroom> sorted = new ArrayList<>(servers.size());
        for (ServerLoad each : servers) {
            if (canStart.test(each, now)) {
                sorted.add(new ServerHeadroom(each, DecodeInterference.maxPrefillMillis(each, now)));
            }
        }
        sorted.sort(Comparator.comparingDouble(ServerHeadroom::maxPrefillMillis).reversed());
        return new PrefillHeadroom(sorted);
    }

    /** Whether at least so many engines have headroom for a part of this length. */
    boolean hasRoom(double partMillis, int engines) {
        return engines <= headrooms.size() && headrooms.get(engines - 1).maxPrefillMillis() >= partMillis;
    }

    /** The engines that have headroom for a part of this length. */
    List<ServerLoad> serversWithRoom(double partMillis) {
        List<ServerLoad> servers = new ArrayList<>();
        for (ServerHeadroom each : headrooms) {
            if (each.maxPrefillMillis() < partMillis) {
                break;
            }
            servers.add(each.server());
        }
        return servers;
    }
}
