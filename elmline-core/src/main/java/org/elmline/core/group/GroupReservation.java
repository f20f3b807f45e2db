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
import org.elmline.core.route.OwnerPlaceAnswer;
import org.elmline.core.route.PlaceMode;
import org.elmline.core.route.PlaceRequest;

/**
 * Reserves the engines of one plan, all or nothing: one after another in the order of the owners' ids, and on the first
 * refusal everything is handed back. It never waits while it holds an engine, so two groups can't each hold what the
 * other needs; the common order makes one of two that meet fail at the first engine they share, not in the middle.
 * Not thread-safe.
 */
public final class GroupReservation {
    private final PlaceRequest wholeRequest;
    private final GroupPlan plan;
    private final List<Grant> grants = new ArrayList<>();
    private boolean refused;

    /** @param whole the request as it would be placed if an engine could hold it */
    public GroupReservation(PlaceRequest whole, GroupPlan plan) {
        this.wholeRequest = whole;
        this.plan = plan;
    }

    /** The next call to make; empty once the group is complete or refused. */
    public Optional<OwnerCall> nextCall() {
        if (refused || isComplete()) {
            return Optional.empty();
        }
        Segment segment = plan.segments().get(grants.size());
        return Optional.of(new OwnerCall(segment.owner(), segmentRequest(segment, grants.size())));
    }

    /** Takes the answer to {@link #nextCall} in. */
    public void onAnswer(OwnerPlaceAnswer answer) {
        if (answer instanceof OwnerPlaceAnswer.Placed placed) {
            grants.add(placed.grant());
        } else {
            refused = true;
        }
    }

    /** No answer came: the owner may have reserved all the same. */
    public void onNoAnswer() {
        refused = true;
    }

    public boolean isComplete() {
        return grants.size() == plan.segments().size();
    }

    public boolean refused() {
        return refused;
    }

    /** The grants in the order of the segments; all of them once {@link #isComplete}. */
    public List<Grant> grants() {
        return List.copyOf(grants);
    }

    /**
     * After a refusal, the attempts to release and their owners. The one that was refused or unanswered is among them:
     * its grant may exist, or be made later by a request still on its way, which the release then forestalls.
     */
    public List<OwnerRelease> releases() {
        List<OwnerRelease> handbacks = new ArrayList<>();
        for (int i = 0; refused && i <= grants.size() && i < plan.segments().size(); i++) {
            handbacks.add(new OwnerRelease(plan.segments().get(i).owner(), segmentAttempt(wholeRequest.attempt(), i)));
        }
        return handbacks;
    }

    /** Identity of the attempt that reads one segment. */
    public static AttemptId segmentAttempt(AttemptId whole, int segment) {
        return AttemptId.of(whole.value() + "/" + segment);
    }

    private PlaceRequest segmentRequest(Segment segment, int index) {
        Set<BackendServerId> excluded = new HashSet<>(wholeRequest.demand().excluded());
        grants.forEach(each -> excluded.add(each.server()));
        Demand demand = new Demand(
                wholeRequest.demand().model(),
                wholeRequest.demand().adapter(),
                segment.promptTokens(),
                segment.extraKvTokens(),
                List.of(),
                wholeRequest.demand().priority(),
                wholeRequest.demand().remainingMillis(),
                excluded);
        return new PlaceRequest(
                segmentAttempt(wholeRequest.attempt(), index),
                wholeRequest.host(),
                wholeRequest.incarnation(),
                wholeRequest.organisation(),
                demand,
                PlaceMode.SEGMENT,
                segment.contextTokens());
    }

    /** One call to an owner. */
    public record OwnerCall(HostId owner, PlaceRequest request) {}

    /** One grant to release at its owner. */
    public record OwnerRelease(HostId owner, AttemptId attempt) {}
}
