package org.elmline.daemon.coordinator;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.evacuation.EvacuationChannels;
import org.elmline.core.evacuation.EvacuationChannels.EvacuationOrder;
import org.elmline.core.evacuation.EvacuationChannels.EvacuationOutcome;
import org.elmline.core.evacuation.EvacuationChannels.EvacuationQuery;
import org.elmline.core.evacuation.EvacuationChannels.EvacuationReading;
import org.elmline.core.peer.HandlerRegistry;
import org.elmline.daemon.log.DecisionLog;

/**
 * Carries out operators' orders on evacuations from any control host, through the leader. Each order reads the number of
 * the failure domain's latest change and then changes the failure domain on condition that the number is still the same,
 * so that of the copies of an order that reach several control hosts a delayed one changes nothing. Thread-safe.
 */
public final class EvacuationService {
    /** An operator waits one second for an answer; the rest of it is for the network. */
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(850);

    private static final Duration READ_TIMEOUT = Duration.ofMillis(500);

    private final HostId self;
    private final List<FailureDomain> failureDomains;
    private final EvacuationDecider decider;
    private final EvacuationProvider provider;
    private final Supplier<List<EvacuationFollower>> followers;
    private final LeaderClient leader;
    private final MonotonicClock clock;
    private final DecisionLog log;

    /** @param failureDomains the failure domains that may be evacuated; none where the settings give no evacuations */
    EvacuationService(
            HostId self,
            List<FailureDomain> failureDomains,
            EvacuationDecider decider,
            EvacuationProvider provider,
            Supplier<List<EvacuationFollower>> followers,
            LeaderClient leader,
            MonotonicClock clock,
            DecisionLog log) {
        this.self = self;
        this.failureDomains = List.copyOf(failureDomains);
        this.decider = decider;
        this.provider = provider;
        this.followers = followers;
        this.leader = leader;
        this.clock = clock;
        this.log = log;
    }

    void register(HandlerRegistry handlers) {
        handlers.register(EvacuationChannels.READ, query -> decider.read());
        handlers.register(EvacuationChannels.SET, decider::set);
    }

    /** Whether the settings of this deployment give evacuations. */
    public boolean isEnabled() {
        return !failureDomains.isEmpty();
    }

    /** The failure domains that may be evacuated. */
    public List<FailureDomain> failureDomains() {
        return failureDomains;
    }

    /**
     * Starts or ends the evacuation of a failure domain.
     *
     * @param isSenderWaiting whether the order's sender still waits for the answer; asked after the state was read. A
     *     host that was frozen with the order unread would else read the current number once it resumes, and undo a
     *     later order that another host has acknowledged
     */
    public CompletableFuture<EvacuationDecision> order(
            FailureDomain domain, boolean evacuated, Supplier<CompletionStage<Boolean>> isSenderWaiting) {
        long deadlineNanos = clock.nanos() + ORDER_TIMEOUT.toNanos();
        return read().thenCompose(reading -> {
                    if (!reading.known()) {
                        return CompletableFuture.completedFuture(EvacuationDecision.UNDECIDED);
                    }
                    // Also where the state is as ordered: without a new number, an earlier order that was given up and
                    // is delayed on its way to the leader could still undo this one after it was acknowledged.
                    EvacuationOrder order = new EvacuationOrder(
                            domain, evacuated, reading.evacuations().changeOf(domain), self);
                    return isSenderWaiting
                            .get()
                            .thenCompose(waiting -> waiting
                                    ? propose(order, deadlineNanos)
                                    : CompletableFuture.completedFuture(EvacuationDecision.DROPPED));
                })
                .whenComplete((decision, failure) -> log.line("evacuation ordered")
                        .with("failureDomain", domain)
                        .with("evacuated", evacuated)
                        .with("decision", decision)
                        .with("why", failure)
                        .with("heldVersion", provider.currentVersion())
                        .with("leader", leader.leader())
                        .write());
    }

    private CompletionStage<EvacuationDecision> propose(EvacuationOrder order, long deadlineNanos) {
        Duration remaining = Duration.ofNanos(deadlineNanos - clock.nanos());
        if (remaining.isNegative() || remaining.isZero()) {
            return CompletableFuture.completedFuture(EvacuationDecision.UNDECIDED);
        }
        LeaderCall<EvacuationOrder, EvacuationOutcome> call = new LeaderCall<>(
                EvacuationChannels.SET,
                order,
                decider::set,
                each -> each == EvacuationOutcome.NOT_LEADER,
                EvacuationOutcome.NOT_LEADER,
                EvacuationOutcome.UNKNOWN);
        return leader.send(call, remaining)
                .thenApply(outcome -> outcome == EvacuationOutcome.IN_FORCE
                        ? EvacuationDecision.ACKNOWLEDGED
                        : EvacuationDecision.UNDECIDED);
    }

    private CompletableFuture<EvacuationReading> read() {
        LeaderCall<EvacuationQuery, EvacuationReading> call = new LeaderCall<>(
                EvacuationChannels.READ,
                new EvacuationQuery(),
                query -> decider.read(),
                each -> !each.known(),
                EvacuationReading.UNKNOWN,
                EvacuationReading.UNKNOWN);
        return leader.send(call, READ_TIMEOUT);
    }

    /** Reads the latest evacuations, those that this host holds when no leader answers. */
    public CompletableFuture<EvacuationOverview> overview() {
        return read().thenApply(reading -> new EvacuationOverview(
                reading.known(), reading.known() ? reading.evacuations() : provider.current(), followers.get()));
    }
}
