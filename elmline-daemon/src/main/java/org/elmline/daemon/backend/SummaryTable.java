package org.elmline.daemon.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import org.elmline.core.common.HostId;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.ServiceName;
import org.elmline.core.route.ModelSummary;
import org.elmline.core.route.OwnerSummary;
import org.elmline.core.route.ServiceReplica;
import org.elmline.core.route.SummaryAnswer;

/** The newest summary of each owner. */
public final class SummaryTable {
    private final Map<HostId, OwnerSummary> summaries = new ConcurrentHashMap<>();

    public CompletionStage<SummaryAnswer> receive(OwnerSummary summary) {
        summaries.merge(summary.owner(), summary, SummaryTable::newer);
        return CompletableFuture.completedFuture(new SummaryAnswer(true));
    }

    /** Owners that have an engine of the model. */
    public List<HostId> owners(ModelName model) {
        List<HostId> found = new ArrayList<>();
        for (OwnerSummary each : summaries.values()) {
            for (ModelSummary served : each.models()) {
                if (served.model().equals(model)) {
                    found.add(each.owner());
                }
            }
        }
        return found;
    }

    /** Replicas of a plain service over all owners. */
    public List<ServiceReplica> replicas(ServiceName service) {
        List<ServiceReplica> found = new ArrayList<>();
        for (OwnerSummary each : summaries.values()) {
            for (ServiceReplica replica : each.services()) {
                if (replica.service().equals(service)) {
                    found.add(replica);
                }
            }
        }
        return found;
    }

    private static OwnerSummary newer(OwnerSummary a, OwnerSummary b) {
        int byIncarnation = a.incarnation().compareTo(b.incarnation());
        if (byIncarnation != 0) {
            return byIncarnation > 0 ? a : b;
        }
        return a.sequence() >= b.sequence() ? a : b;
    }
}
