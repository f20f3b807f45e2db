package org.elmline.daemon.caller;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.HostId;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.control.HostRecord;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.placement.Demand;
import org.elmline.core.route.GroupSlot;
import org.elmline.core.route.OwnerChoice;
import org.elmline.core.route.OwnerPlaceAnswer;
import org.elmline.core.route.OwnerTable;
import org.elmline.core.route.PlaceRequest;
import org.elmline.core.route.RouteChannels;
import org.elmline.daemon.backend.OwnerService;
import org.elmline.daemon.entry.HostIdentity;
import org.elmline.daemon.entry.LeasedView;

/** Places an attempt on an engine: sends place requests to at most three owners, the most promising first. */
public final class Placer {
    private static final int MAX_OWNERS = 3;
    private static final long MEMBERSHIP_CHECK_MILLIS = 250;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final HostIdentity self;
    private final LeasedView leasedView;
    private final MonotonicClock clock;
    private final PeerNetwork network;
    private final OwnerService localOwner;
    private final OwnerTable owners;
    private final GrantTracker grants;
    private final Counter requestsSent;
    private final Counter requestsLost;

    public Placer(
            HostIdentity self,
            LeasedView leasedView,
            MonotonicClock clock,
            PeerNetwork network,
            OwnerService localOwner,
            OwnerTable owners,
            GrantTracker grants,
            MetricRegistry metrics) {
        this.self = self;
        this.leasedView = leasedView;
        this.clock = clock;
        this.network = network;
        this.localOwner = localOwner;
        this.owners = owners;
        this.grants = grants;
        this.requestsSent = metrics.counter("gateway.owners.asked");
        this.requestsLost = metrics.counter("gateway.owners.lost");
    }

    /** Blocks until the attempt is placed or refused; it is refused when the call's time is up. */
    PlacementResult place(AdmittedCall call, int placement, Demand demand) throws InterruptedException {
        Set<HostId> tried = new HashSet<>();
        Refusal lastRefusal = null;
        for (int i = 0; i < MAX_OWNERS; i++) {
            Optional<OwnerChoice> choice = owners.choose(demand, tried, ThreadLocalRandom.current(), clock.nanos());
            if (choice.isEmpty()) {
                break;
            }
            HostRecord owner = choice.get().owner();
            tried.add(owner.id());
            AttemptId attempt = AttemptId.of(call.id() + "/" + placement + "." + i);
            PlaceRequest request = new PlaceRequest(
                    attempt,
                    self.host(),
                    self.incarnation(),
                    call.organisation().id(),
                    demand);
            requestsSent.inc();
            Optional<OwnerPlaceAnswer> answer = requestPlace(owner, request, call);
            if (answer.isEmpty()) {
                requestsLost.inc();
                grants.withdraw(attempt, owner.id());
                continue;
            }
            if (answer.get() instanceof OwnerPlaceAnswer.Placed placed) {
                grants.open(placed.grant(), owner.id());
                if (placed.summary() != null) {
                    owners.refresh(owner.id(), demand, placed.summary());
                }
                return new PlacementResult.Placed(placed.grant(), owner.id());
            }
            OwnerPlaceAnswer.Refused refused = (OwnerPlaceAnswer.Refused) answer.get();
            owners.refresh(owner.id(), demand, refused.summary());
            lastRefusal = refused.refusal();
        }
        return new PlacementResult.Refused(lastRefusal != null ? lastRefusal : noOwnerRefusal(demand));
    }

    /** The engines that may have room for segments of a prompt larger than one engine. */
    List<GroupSlot> slots(ModelName model) {
        return owners.groupSlots(model, clock.nanos());
    }

    /** Sends a place request to an owner given by its id; empty also when it is not a member. */
    Optional<OwnerPlaceAnswer> requestPlace(HostId owner, PlaceRequest request, AdmittedCall call)
            throws InterruptedException {
        Optional<HostRecord> record = leasedView.members().host(owner);
        return record.isEmpty() ? Optional.empty() : requestPlace(record.get(), request, call);
    }

    /** Sends a place request; empty when the owner can't be reached, is no longer a member, or the time is up. */
    private Optional<OwnerPlaceAnswer> requestPlace(HostRecord owner, PlaceRequest request, AdmittedCall call)
            throws InterruptedException {
        CompletableFuture<Optional<OwnerPlaceAnswer>> answer = send(owner, request, call);
        while (true) {
            try {
                return answer.get(MEMBERSHIP_CHECK_MILLIS, TimeUnit.MILLISECONDS);
            } catch (TimeoutException e) {
                // A hung owner keeps its connections open: without this check of the members, its callers would wait
                // for their whole time limit. Its lease expires within seconds, and another owner takes over its
                // engines.
                boolean ownerRemoved = leasedView.members().host(owner.id()).isEmpty();
                if (ownerRemoved || call.remainingMillis(clock) <= 0) {
                    return Optional.empty();
                }
            } catch (ExecutionException e) {
                throw new IllegalStateException("place request failed with an exception instead of a CallResult", e);
            }
        }
    }

    private CompletableFuture<Optional<OwnerPlaceAnswer>> send(
            HostRecord owner, PlaceRequest request, AdmittedCall call) {
        if (owner.id().equals(self.host())) {
            return localOwner.place(request).thenApply(Optional::of);
        }
        Duration timeout = Duration.ofMillis(Math.max(1, call.remainingMillis(clock)));
        return network.call(owner.peers(), RouteChannels.PLACE, request, timeout)
                .thenApply(result -> result instanceof CallResult.Answered<OwnerPlaceAnswer> answered
                        ? Optional.of(answered.value())
                        : Optional.empty());
    }

    private Refusal noOwnerRefusal(Demand demand) {
        boolean modelExists = leasedView.configuration().model(demand.model()).isPresent();
        String why = modelExists ? "no engine of " + demand.model() + " is ready" : "no model " + demand.model();
        return Refusal.retryLater(RefusalReason.NO_BACKEND_SERVER, why, RETRY_AFTER_MILLIS);
    }
}
