package org.elmline.core.dispatch;

import java.util.List;

/**
 * Where a call would run.
 *
 * @param members the server that answers first, then those that help to read
 * @param memoryTokens memory that the call takes on each member, in the same order
 * @param partPrefillMillis reading for each member
 * @param firstMillis predicted time to the first token, or to the answer of a plain service
 */
record PlacementPlan(List<ServerLoad> members, List<Long> memoryTokens, double partPrefillMillis, double firstMillis) {
    static PlacementPlan single(ServerLoad server, long memoryTokens, double readMillis, double firstMillis) {
        return new PlacementPlan(List.of(server), List.of(memoryTokens), readMillis, firstMillis);
    }

    ServerLoad primary() {
        return members.get(0);
    }
}
