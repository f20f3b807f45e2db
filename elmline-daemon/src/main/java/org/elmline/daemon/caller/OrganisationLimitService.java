package org.elmline.daemon.caller;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.config.Organisation;
import org.elmline.core.control.HostRecord;
import org.elmline.core.fairness.LimitDecision;
import org.elmline.core.fairness.LimitShareAllocator;
import org.elmline.core.fairness.OrganisationLimits;
import org.elmline.core.fairness.ShareAnswer;
import org.elmline.core.fairness.ShareRequest;
import org.elmline.core.peer.HandlerRegistry;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.route.Ownership;
import org.elmline.core.route.RouteChannels;
import org.elmline.daemon.entry.HostIdentity;
import org.elmline.daemon.entry.LeasedView;
import org.jboss.logging.Logger;

/**
 * Enforces the organisations' limits over all entries: requests a share of an organisation's limit from the entry that
 * splits it, and splits the limits that are assigned to this entry.
 */
public final class OrganisationLimitService {
    private static final Logger LOG = Logger.getLogger(OrganisationLimitService.class);
    private static final long SHARE_LEASE_MILLIS = 4_000;
    private static final long RENEW_INTERVAL_MILLIS = 500;
    private static final Duration SHARE_REQUEST_TIMEOUT = Duration.ofMillis(500);
    private static final long REQUESTS_RETRY_AFTER_MILLIS = 1_000;
    private static final long TOKENS_RETRY_AFTER_MILLIS = 5_000;

    private final HostIdentity self;
    private final LeasedView leasedView;
    private final PeerNetwork network;
    private final MonotonicClock clock;
    private final OrganisationLimits limits;
    private final LimitShareAllocator shares = new LimitShareAllocator(SHARE_LEASE_MILLIS);
    private final Counter refused;

    public OrganisationLimitService(
            HostIdentity self,
            LeasedView leasedView,
            PeerNetwork network,
            MonotonicClock clock,
            MetricRegistry metrics) {
        this.self = self;
        this.leasedView = leasedView;
        this.network = network;
        this.clock = clock;
        this.limits = new OrganisationLimits(self.host(), self.incarnation());
        this.refused = metrics.counter("entry.limits.refused");
    }

    public void register(HandlerRegistry handlers) {
        handlers.register(RouteChannels.LIMIT_SHARE, request -> CompletableFuture.completedFuture(grantShare(request)));
    }

    public void start(ScheduledExecutorService timer) {
        timer.scheduleWithFixedDelay(this::renew, RENEW_INTERVAL_MILLIS, RENEW_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Admits a request or returns the refusal; {@link #onFinished} must follow an admission exactly once. May block the
     * calling worker for at most half a second, waiting for a share.
     *
     * @param tokens prompt tokens plus the maximum number of output tokens
     */
    public Optional<Refusal> admit(Organisation organisation, long tokens) {
        LimitDecision answer = limits.admit(organisation, tokens, clock.nanos());
        if (answer == LimitDecision.NO_SHARE) {
            requestShare(organisation.id()).join();
            answer = limits.admit(organisation, tokens, clock.nanos());
        }
        return toRefusal(organisation, answer);
    }

    public void onFinished(OrganisationId organisation) {
        limits.release(organisation);
    }

    private Optional<Refusal> toRefusal(Organisation organisation, LimitDecision answer) {
        if (answer == LimitDecision.ADMITTED) {
            return Optional.empty();
        }
        refused.inc();
        String subject = "organisation " + organisation.id();
        return Optional.of(
                switch (answer) {
                    case TOO_MANY_TOKENS -> Refusal.retryLater(
                            RefusalReason.OVER_LIMIT,
                            subject + " is over its " + organisation.maxTokensPerMinute() + " tokens a minute",
                            TOKENS_RETRY_AFTER_MILLIS);
                    case TOO_MANY_REQUESTS -> Refusal.retryLater(
                            RefusalReason.OVER_LIMIT,
                            subject + " is over its " + organisation.maxConcurrentRequests() + " requests at once",
                            REQUESTS_RETRY_AFTER_MILLIS);
                    default -> Refusal.retryLater(
                            RefusalReason.OVER_LIMIT,
                            "the share of " + subject + " can't be learnt now",
                            REQUESTS_RETRY_AFTER_MILLIS);
                });
    }

    private void renew() {
        try {
            shares.expire(clock.nanos());
            limits.dueRenewals(clock.nanos()).forEach(this::requestShare);
        } catch (RuntimeException e) {
            LOG.error("renewing shares of limits failed; retrying at the next interval", e);
        }
    }

    private CompletableFuture<Void> requestShare(OrganisationId organisation) {
        long requestedAtNanos = clock.nanos();
        ShareRequest request = limits.shareRequest(organisation, requestedAtNanos);
        Optional<HostRecord> splitter = new Ownership(leasedView.members().hosts()).limitSplitter(organisation);
        if (splitter.isEmpty() || splitter.get().id().equals(self.host())) {
            limits.applyShare(grantShare(request), requestedAtNanos, clock.nanos());
            return CompletableFuture.completedFuture(null);
        }
        return network.call(splitter.get().peers(), RouteChannels.LIMIT_SHARE, request, SHARE_REQUEST_TIMEOUT)
                .thenAccept(result -> {
                    if (result instanceof CallResult.Answered<ShareAnswer> answered) {
                        limits.applyShare(answered.value(), requestedAtNanos, clock.nanos());
                    }
                });
    }

    /**
     * An organisation that is missing from this entry's configuration gets an empty share; the requesting entry
     * requests again.
     */
    private ShareAnswer grantShare(ShareRequest request) {
        return leasedView
                .configuration()
                .organisation(request.organisation())
                .map(known -> shares.renew(
                        known, request, leasedView.members().hosts().size(), clock.nanos()))
                .orElseGet(() -> new ShareAnswer(request.organisation(), 0, 0, 0));
    }
}
