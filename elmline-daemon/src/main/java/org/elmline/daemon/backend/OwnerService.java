package org.elmline.daemon.backend;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import org.elmline.core.backend.AnnounceAnswer;
import org.elmline.core.backend.Announcement;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.control.HostRecord;
import org.elmline.core.owner.Owner;
import org.elmline.core.owner.OwnerDecision;
import org.elmline.core.peer.HandlerRegistry;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.route.AuditAnswer;
import org.elmline.core.route.AuditRequest;
import org.elmline.core.route.GrantReport;
import org.elmline.core.route.GrantReportAnswer;
import org.elmline.core.route.OwnerPlaceAnswer;
import org.elmline.core.route.OwnerTable;
import org.elmline.core.route.Ownership;
import org.elmline.core.route.PlaceRequest;
import org.elmline.core.route.RegisterAnswer;
import org.elmline.core.route.RegisterGrants;
import org.elmline.core.route.RouteChannels;
import org.elmline.daemon.entry.HostIdentity;
import org.elmline.daemon.entry.LeasedView;

/**
 * Serves requests of other entries to this entry's {@link Owner}, and forwards announcements that belong to other
 * owners. Thread-safe.
 */
public final class OwnerService {
    private static final Duration FORWARD_TIMEOUT = Duration.ofMillis(500);
    private static final int MAX_CANDIDATES = 3;

    private final HostIdentity self;
    private final Owner owner;
    private final OwnerTable owners;
    private final LeasedView leasedView;
    private final PeerNetwork network;
    private final MonotonicClock clock;
    private volatile Runnable onWaiting = () -> {};
    private volatile Function<AuditRequest, AuditAnswer> localAudit = request -> new AuditAnswer(List.of());
    private final Map<AttemptId, CompletableFuture<OwnerPlaceAnswer>> pendingAnswers = new ConcurrentHashMap<>();

    public OwnerService(
            HostIdentity self,
            Owner owner,
            OwnerTable owners,
            LeasedView leasedView,
            PeerNetwork network,
            MonotonicClock clock) {
        this.self = self;
        this.owner = owner;
        this.owners = owners;
        this.leasedView = leasedView;
        this.network = network;
        this.clock = clock;
        leasedView.onRenewal(this::onLeaseRenewed);
        leasedView.onMembers(() -> owner.members(leasedView.members().hosts(), clock.nanos()));
    }

    public void register(HandlerRegistry handlers) {
        handlers.register(RouteChannels.ANNOUNCE, this::acceptForwarded);
        handlers.register(RouteChannels.PLACE, this::place);
        handlers.register(RouteChannels.RELEASE, report -> CompletableFuture.completedFuture(report(report)));
        handlers.register(RouteChannels.REGISTER, grants -> CompletableFuture.completedFuture(registerGrants(grants)));
    }

    /**
     * Accepts an announcement received here, or forwards it to the owner. A candidate that can't be reached is skipped:
     * otherwise a backend server without an owner would get no work until the failed candidate's lease expires. Two
     * owners for a short time only make predictions less accurate.
     */
    CompletionStage<AnnounceAnswer> handleAnnouncement(Announcement announcement) {
        Ownership ownership = new Ownership(leasedView.members().hosts());
        List<HostRecord> candidates = new ArrayList<>();
        ownership.owner(announcement, owners).ifPresent(candidates::add);
        for (HostRecord each : ownership.candidates(announcement)) {
            if (candidates.size() < MAX_CANDIDATES && !candidates.contains(each)) {
                candidates.add(each);
            }
        }
        return forwardAnnouncement(announcement, candidates);
    }

    private CompletionStage<AnnounceAnswer> forwardAnnouncement(
            Announcement announcement, List<HostRecord> candidates) {
        if (candidates.isEmpty() || candidates.get(0).id().equals(self.host())) {
            return CompletableFuture.completedFuture(owner.announce(announcement, clock.nanos()));
        }
        List<HostRecord> others = new ArrayList<>(candidates.subList(1, candidates.size()));
        return network.call(candidates.get(0).peers(), RouteChannels.ANNOUNCE, announcement, FORWARD_TIMEOUT)
                .thenCompose(result -> {
                    if (result instanceof CallResult.Answered<AnnounceAnswer> answered) {
                        releaseServer(announcement);
                        return CompletableFuture.completedFuture(answered.value());
                    }
                    return forwardAnnouncement(announcement, others);
                });
    }

    /** Another owner has accepted the server; if it was owned here, it gets no more work from this owner, at once. */
    private void releaseServer(Announcement announcement) {
        for (Announcement each : owner.engines()) {
            if (each.id().equals(announcement.id())) {
                owner.announce(announcement.asLeaving(), clock.nanos());
            }
        }
    }

    private CompletionStage<AnnounceAnswer> acceptForwarded(Announcement announcement) {
        return CompletableFuture.completedFuture(owner.announce(announcement, clock.nanos()));
    }

    /**
     * Decides one placement on the engines owned here; completes no later than the request's deadline, or never when
     * its entry has released the attempt before.
     */
    public CompletableFuture<OwnerPlaceAnswer> place(PlaceRequest request) {
        CompletableFuture<OwnerPlaceAnswer> answer =
                pendingAnswers.computeIfAbsent(request.attempt(), attempt -> new CompletableFuture<>());
        Optional<OwnerPlaceAnswer> immediate = owner.place(request, clock.nanos());
        immediate.ifPresent(each -> complete(request.attempt(), each));
        if (immediate.isEmpty()) {
            onWaiting.run();
        }
        return answer;
    }

    /** Applies an entry's report on its grants; a release may admit a waiting request at once. */
    public GrantReportAnswer report(GrantReport report) {
        GrantReportAnswer answer = owner.report(report, clock.nanos());
        report.releases().forEach(each -> pendingAnswers.remove(each.attempt()));
        advance();
        return answer;
    }

    /** Reserves again what an earlier owner granted. */
    public RegisterAnswer registerGrants(RegisterGrants grants) {
        return owner.register(grants, clock.nanos());
    }

    /** Sends an audit to the entry that it names; empty when that entry is not a member or does not answer. */
    CompletableFuture<Optional<AuditAnswer>> audit(AuditRequest request) {
        if (request.host().equals(self.host())) {
            return CompletableFuture.completedFuture(Optional.of(localAudit.apply(request)));
        }
        Optional<HostRecord> record = leasedView.members().host(request.host());
        if (record.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return network.call(record.get().peers(), RouteChannels.AUDIT, request, FORWARD_TIMEOUT)
                .thenApply(result -> result instanceof CallResult.Answered<AuditAnswer> answered
                        ? Optional.of(answered.value())
                        : Optional.empty());
    }

    /** Sets the listener that is notified when a request has to wait; {@link #advance} completes the request later. */
    void onWaiting(Runnable listener) {
        onWaiting = listener;
    }

    boolean hasWaiting() {
        return !pendingAnswers.isEmpty();
    }

    /** Sets the function that answers audits of this entry's own attempts. */
    public void localAudit(Function<AuditRequest, AuditAnswer> audit) {
        localAudit = audit;
    }

    /** Advances the owner to the present time and completes the placements that it has decided. */
    void advance() {
        for (OwnerDecision each : owner.advance(clock.nanos())) {
            complete(each.request().attempt(), each.answer());
        }
    }

    private void complete(AttemptId attempt, OwnerPlaceAnswer answer) {
        CompletableFuture<OwnerPlaceAnswer> future = pendingAnswers.remove(attempt);
        if (future != null) {
            future.complete(answer);
        }
    }

    private void onLeaseRenewed() {
        owner.configure(leasedView.configuration());
        owner.leaseUntil(clock.nanos() + leasedView.leaseRemainingNanos());
    }
}
