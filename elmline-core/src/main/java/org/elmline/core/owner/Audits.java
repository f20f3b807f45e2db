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
import org.elmline.core.stream.StrayFinder.Doubt;

/** What engines hold in the name of live entries without a grant, until those entries have said whether they run it. */
final class Audits {
    private final Map<AttemptId, Set<Cancel>> open = new HashMap<>();

    /** One request for each entry that is named. */
    List<AuditRequest> ask(List<Doubt> doubts) {
        Map<HostId, List<Doubt>> byHost = new HashMap<>();
        for (Doubt each : doubts) {
            open.computeIfAbsent(each.cancel().attempt(), id -> new HashSet<>()).add(each.cancel());
            byHost.computeIfAbsent(each.host(), id -> new ArrayList<>()).add(each);
        }
        List<AuditRequest> requests = new ArrayList<>();
        for (Map.Entry<HostId, List<Doubt>> each : byHost.entrySet()) {
            List<AttemptId> attempts = each.getValue().stream()
                    .map(doubt -> doubt.cancel().attempt())
                    .distinct()
                    .toList();
            requests.add(new AuditRequest(each.getKey(), each.getValue().get(0).incarnation(), attempts));
        }
        return requests;
    }

    /** What to cancel after an entry's answer. */
    List<Cancel> answered(AuditRequest request, AuditAnswer answer) {
        List<Cancel> cancels = new ArrayList<>();
        for (AttemptId each : answer.notRunning()) {
            if (request.attempts().contains(each)) {
                cancels.addAll(open.getOrDefault(each, Set.of()));
            }
        }
        request.attempts().forEach(open::remove);
        return cancels;
    }

    /** A new listing of the server replaces what its last one showed. */
    void forget(BackendServerId server) {
        open.values().forEach(cancels -> cancels.removeIf(each -> each.server().equals(server)));
        open.values().removeIf(Set::isEmpty);
    }
}
