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
 * Reserves the engines of one plan, all or nothing: one after another in the order of the owners' ids; on the first
 * refusal, all reservations are released. A group never waits for an engine while it holds another, so two groups that
 * each hold an engine the other needs cannot deadlock. The common order makes one of two competing groups fail at the
 * first engine that they share, not at a later one. Not thread-safe.
 */
public final class GroupReservation {
    private final PlaceRequest wholeRequest;
    private final GroupPlan plan;
    private final List<Grant> grants = new ArrayList<>();
    private boolean refused;

    /** @param whole the request for the whole prompt, as it would be placed on one engine */
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

    /** Records the answer to {@link #nextCall}. */
    public void onAnswer(OwnerPlaceAnswer answer) {
        if (answer instanceof OwnerPlaceAnswer.Placed placed) {
            grants.add(placed.grant());
        } else {
            refused = true;
        }
    }

    /** Records that {@link #nextCall} was not answered; the owner may have reserved the engine nevertheless. */
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
     * After a refusal, the attempts to release and their owners. They include the one that was refused or unanswered:
     * its grant may exist already, or a request still in flight would create it later; the release prevents that.
     */
    public List<OwnerRelease> releases() {
        List<OwnerRelease> releases = new ArrayList<>();
        for (int i = 0; refused && i <= grants.size() && i < plan.segments().size(); i++) {
            releases.add(new OwnerRelease(plan.segments().get(i).owner(), segmentAttempt(wholeRequest.attempt(), i)));
        }
        return releases;
    }

    /** Id of the attempt that prefills one segment. */
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

    /** A placement request and the owner to send it to. */
    public record OwnerCall(HostId owner, PlaceRequest request) {}

    /** An attempt whose grant must be released, and its owner. */
    public record OwnerRelease(HostId owner, AttemptId attempt) {}
}
