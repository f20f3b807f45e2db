package org.elmline.core.dispatch;

import java.util.List;

/**
 * The servers that a call would run on.
 *
 * @param members the primary, which generates the answer, then its helpers
 * @param memoryTokens memory that the call takes on each member, in the same order
 * @param partPrefillMillis prefill time on each member
 * @param firstMillis predicted time to the first token, or to the answer of a plain service
 */
record PlacementPlan(List<ServerLoad> members, List<Long> memoryTokens, double partPrefillMillis, double firstMillis) {
    static PlacementPlan single(ServerLoad server, long memoryTokens, double prefillMillis, double firstMillis) {
        return new PlacementPlan(List.of(server), List.of(memoryTokens), prefillMillis, firstMillis);
    }

    ServerLoad primary() {
        return members.get(0);
    }
}
