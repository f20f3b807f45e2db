package org.elmline.core.group;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.placement.Demand;
import org.elmline.core.route.Grant;
import org.elmline.core.route.PlaceAnswer;
import org.elmline.core.route.PlaceMode;
import org.elmline.core.route.PlaceRequest;

/**
 * Reserves the engines of one plan, all or nothing: one after another in the order of the owners' ids, and on the first
 * refusal everything is handed back. It never waits while it holds an engine, so two groups can't each hold what the
 * other needs; the common order makes one of two that meet fail at the first engine they share, not in the middle.
 * Not thread-safe.
 */
public final class GroupReservation {
    private final PlaceRequest whole;
    private final GroupPlan plan;
    private final List<Grant> grants = new ArrayList<>();
    private boolean refused;

    /** @param whole the request as it would be placed if an engine could hold it */
    public GroupReservation(PlaceRequest whole, GroupPlan plan) {
        this.whole = whole;
        this.plan = plan;
    }

    /** The next call to make; empty once the group is complete or refused. */
    public Optional<Ask> next() {
        if (refused || complete()) {
            return Optional.empty();
        }
        Segment segment = plan.segments().get(grants.size());
        return Optional.of(new Ask(segment.owner(), request(segment, grants.size())));
    }

    /** Takes the answer to {@link #next} in. */
    public void answered(PlaceAnswer answer) {
        if (answer instanceof PlaceAnswer.Placed placed) {
            grants.add(placed.grant());
        } else {
            refused = true;
        }
    }

    /** No answer came: the owner may have reserved all the same. */
    public void unanswered() {
        refused = true;
    }

    public boolean complete() {
        return grants.size() == plan.segments().size();
    }

    public boolean refused() {
        return refused;
    }

    /** The grants in the order of the segments; all of them once {@link #complete}. */
    public List<Grant> grants() {
        return List.copyOf(grants);
    }

    /**
     * After a refusal, the attempts to release and their owners. The one that was refused or unanswered is among them:
     * its grant may exist, or be made later by a request still on its way, which the release then forestalls.
     */
    public List<Handback> handbacks() {
        List<Handback> handbacks = new ArrayList<>();
        for (int i = 0; refused && i <= grants.size() && i < plan.segments().size(); i++) {
            handbacks.add(new Handback(plan.segments().get(i).owner(), attempt(whole.attempt(), i)));
        }
        return handbacks;
    }

    /** Identity of the attempt that reads one segment. */
    public static AttemptId attempt(AttemptId whole, int segment) {
        return AttemptId.of(whole.value() + "/" + segment);
    }

    private PlaceRequest request(Segment segment, int index) {
        Set<BackendServerId> excluded = new HashSet<>(whole.demand().excluded());
        grants.forEach(each -> excluded.add(each.server()));
        Demand demand = new Demand(
                whole.demand().model(),
                whole.demand().adapter(),
                segment.promptTokens(),
                segment.extraKvTokens(),
                List.of(),
                whole.demand().priority(),
                whole.demand().remainingMillis(),
                excluded);
        return new PlaceRequest(
                attempt(whole.attempt(), index),
                whole.host(),
                whole.incarnation(),
                whole.organisation(),
                demand,
                PlaceMode.SEGMENT,
                segment.contextTokens());
    }

    /** One call to an owner. */
    public record Ask(HostId owner, PlaceRequest request) {}

    /** One grant to release at its owner. */
    public record Handback(HostId owner, AttemptId attempt) {}
}
