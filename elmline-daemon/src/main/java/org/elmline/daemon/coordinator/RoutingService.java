package org.elmline.daemon.coordinator;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.elmline.core.peer.HandlerRegistry;
import org.elmline.core.registry.RegistryChannels;
import org.elmline.core.registry.RegistryChannels.RoutingQuery;
import org.elmline.core.registry.RegistryChannels.RoutingSubmission;
import org.elmline.core.registry.RegistryChannels.RoutingSubmitResult;
import org.elmline.core.registry.RegistryChannels.RoutingText;
import org.elmline.daemon.log.DecisionLog;

/**
 * Submits and reads the routing table from any control host, through the leader. A request times out within the second
 * in which an operator expects an answer, and its result then shows that no leader answered: another control host may
 * reach the leader. Thread-safe.
 */
public final class RoutingService {
    /** An operator waits one second for an answer; the rest of it is for the network. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(850);

    private final RoutingStore store;
    private final LeaderClient leader;
    private final DecisionLog log;

    RoutingService(RoutingStore store, LeaderClient leader, DecisionLog log) {
        this.store = store;
        this.leader = leader;
        this.log = log;
    }

    void register(HandlerRegistry handlers) {
        handlers.register(RegistryChannels.SUBMIT_ROUTING, store::submit);
        handlers.register(RegistryChannels.READ_ROUTING, query -> store.read());
        handlers.register(RegistryChannels.FETCH_ROUTING, query -> CompletableFuture.completedFuture(store.current()));
    }

    /** Puts a valid document in force, unless one with the same or a higher version is. */
    public CompletableFuture<RoutingSubmitResult> submit(RoutingSubmission submission) {
        LeaderCall<RoutingSubmission, RoutingSubmitResult> call = new LeaderCall<>(
                RegistryChannels.SUBMIT_ROUTING,
                submission,
                store::submit,
                each -> each == RoutingSubmitResult.NOT_LEADER,
                RoutingSubmitResult.NOT_LEADER,
                RoutingSubmitResult.UNKNOWN);
        return leader.send(call, REQUEST_TIMEOUT).whenComplete((outcome, failure) -> log.line("routing submitted")
                .with("version", submission.version())
                .with("outcome", outcome)
                .with("heldVersion", store.currentVersion())
                .with("leader", leader.leader())
                .write());
    }

    /** Reads the newest document; {@link RoutingText#UNKNOWN} when no leader can be reached. */
    public CompletableFuture<RoutingText> read() {
        LeaderCall<RoutingQuery, RoutingText> call = new LeaderCall<>(
                RegistryChannels.READ_ROUTING,
                new RoutingQuery(),
                query -> store.read(),
                each -> !each.known(),
                RoutingText.UNKNOWN,
                RoutingText.UNKNOWN);
        return leader.send(call, REQUEST_TIMEOUT);
    }
}
