package org.elmline.daemon.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.elmline.core.backend.Announcement;
import org.elmline.core.common.CallResult;
import org.elmline.core.control.EngineObservation;
import org.elmline.core.control.ObserveAnswer;
import org.elmline.core.control.OrderChannels;
import org.elmline.core.engine.EngineClient;
import org.elmline.core.engine.EngineState;
import org.elmline.core.owner.Owner;
import org.elmline.core.peer.HandlerRegistry;

/**
 * Reads the state of the owned engines at the control leader's request. The state is null for an engine that did not
 * answer.
 */
public final class EngineObserver {
    private final Owner owner;
    private final EngineClients engines;

    public EngineObserver(Owner owner, EngineClients engines) {
        this.owner = owner;
        this.engines = engines;
    }

    public void register(HandlerRegistry handlers) {
        handlers.register(OrderChannels.OBSERVE, request -> observe());
    }

    private CompletableFuture<ObserveAnswer> observe() {
        List<CompletableFuture<EngineObservation>> reads = new ArrayList<>();
        for (Announcement each : owner.engines()) {
            reads.add(read(each));
        }
        return CompletableFuture.allOf(reads.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> new ObserveAnswer(
                        reads.stream().map(CompletableFuture::join).toList()));
    }

    private CompletableFuture<EngineObservation> read(Announcement engine) {
        Optional<EngineClient> client = engines.client(engine.protocol(), engine.address());
        if (client.isEmpty()) {
            return CompletableFuture.completedFuture(observation(engine, null));
        }
        return client.get().state().thenApply(result -> {
            boolean answered = result instanceof CallResult.Answered<EngineState>;
            return observation(engine, answered ? ((CallResult.Answered<EngineState>) result).value() : null);
        });
    }

    private static EngineObservation observation(Announcement engine, EngineState state) {
        return new EngineObservation(
                engine.id(), engine.protocol(), engine.address(), engine.checksFencing(), engine.leaving(), state);
    }
}
