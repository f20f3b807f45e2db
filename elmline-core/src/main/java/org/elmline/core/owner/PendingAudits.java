package org.elmline.core.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.route.AuditAnswer;
import org.elmline.core.route.AuditRequest;
import org.elmline.core.stream.Cancel;
import org.elmline.core.stream.OrphanFinder.UnregisteredHolding;

/**
 * Streams and exports that engines hold for live entries without a grant, until those entries report whether they run
 * the attempts. Not thread-safe.
 */
final class PendingAudits {
    private final Map<AttemptId, Set<Cancel>> cancelsByAttempt = new HashMap<>();

    /** Records the holdings and returns one request for each entry named in them. */
    List<AuditRequest> createRequests(List<UnregisteredHolding> unregistered) {
        Map<HostId, List<UnregisteredHolding>> byHost = new HashMap<>();
        for (UnregisteredHolding each : unregistered) {
            cancelsByAttempt
                    .computeIfAbsent(each.cancel().attempt(), id -> new HashSet<>())
                    .add(each.cancel());
            byHost.computeIfAbsent(each.host(), id -> new ArrayList<>()).add(each);
        }
        List<AuditRequest> requests = new ArrayList<>();
        for (Map.Entry<HostId, List<UnregisteredHolding>> each : byHost.entrySet()) {
            List<AttemptId> attempts = each.getValue().stream()
                    .map(holding -> holding.cancel().attempt())
                    .distinct()
                    .toList();
            requests.add(new AuditRequest(each.getKey(), each.getValue().get(0).incarnation(), attempts));
        }
        return requests;
    }

    /** Ends the audit of the requested attempts; returns the cancels of those that the entry is not running. */
    List<Cancel> resolve(AuditRequest request, AuditAnswer answer) {
        List<Cancel> cancels = new ArrayList<>();
        for (AttemptId each : answer.notRunning()) {
            if (request.attempts().contains(each)) {
                cancels.addAll(cancelsByAttempt.getOrDefault(each, Set.of()));
            }
        }
        request.attempts().forEach(cancelsByAttempt::remove);
        return cancels;
    }

    /** Removes what the server's last listing showed; its new listing replaces it. */
    void removeServer(BackendServerId server) {
        cancelsByAttempt
                .values()
                .forEach(cancels -> cancels.removeIf(each -> each.server().equals(server)));
        cancelsByAttempt.values().removeIf(Set::isEmpty);
    }
}
