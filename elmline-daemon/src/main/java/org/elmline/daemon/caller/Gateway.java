package org.elmline.daemon.caller;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.HostId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.Ran;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.control.HostRecord;
import org.elmline.core.engine.EngineClient;
import org.elmline.core.engine.EngineRequest;
import org.elmline.core.engine.PromptBlocks;
import org.elmline.core.engine.StreamEvent;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.placement.Demand;
import org.elmline.core.route.Grant;
import org.elmline.core.route.PlaceAnswer;
import org.elmline.core.route.PlaceRequest;
import org.elmline.core.route.RouteChannels;
import org.elmline.daemon.backend.EngineClients;
import org.elmline.daemon.backend.OwnerService;
import org.elmline.daemon.backend.SummaryTable;
import org.elmline.daemon.entry.HostIdentity;
import org.elmline.daemon.entry.SharedView;
import org.elmline.daemon.openai.CompletionRequest;

/** Serves requests for answers: asks an owner for a place, then streams from the engine to the caller. */
public final class Gateway {
    private static final int MAX_QUEUED_EVENTS = 4096;
    private static final long IDLE_MILLIS = 1000;
    private static final Duration PLACE_TIMEOUT = Duration.ofSeconds(1);
    private static final long RETRY_MILLIS = 1000;

    private final HostIdentity self;
    private final SharedView view;
    private final MonotonicClock clock;
    private final PeerNetwork network;
    private final OwnerService owner;
    private final SummaryTable summaries;
    private final EngineClients engines;

    public Gateway(
            HostIdentity self,
            SharedView view,
            MonotonicClock clock,
            PeerNetwork network,
            OwnerService owner,
            SummaryTable summaries,
            EngineClients engines) {
        this.self = self;
        this.view = view;
        this.clock = clock;
        this.network = network;
        this.owner = owner;
        this.summaries = summaries;
        this.engines = engines;
    }

    /** Runs on a worker until the caller has the answer. */
    void serve(Work work, AnswerSink sink) {
        try {
            Optional<Grant> grant = place(work);
            if (grant.isEmpty()) {
                sink.refuse(Refusal.comeBack(
                        RefusalReason.NO_BACKEND_SERVER,
                        "no engine of " + work.request().model() + " is ready",
                        RETRY_MILLIS));
                return;
            }
            stream(work, grant.get(), sink);
        } catch (IOException e) {
            // The caller has left; the engine's stream was cancelled on the way out.
        }
    }

    private Optional<Grant> place(Work work) {
        CompletionRequest request = work.request();
        Demand demand = new Demand(
                request.model(),
                request.adapter(),
                work.promptTokens(),
                work.maxOutputTokens(),
                PromptBlocks.hashes(request.model().value(), request.adapter(), request.prompt()),
                work.call().organisation().priority(),
                work.call().remainingMillis(clock),
                Set.of());
        PlaceRequest place = new PlaceRequest(
                AttemptId.of(work.call().id() + "/1"),
                self.host(),
                self.incarnation(),
                work.call().organisation().id(),
                demand);
        for (HostId each : summaries.owners(request.model())) {
            if (ask(each, place) instanceof PlaceAnswer.Placed placed) {
                return Optional.of(placed.grant());
            }
        }
        return Optional.empty();
    }

    private PlaceAnswer ask(HostId host, PlaceRequest place) {
        if (host.equals(self.host())) {
            return owner.place(place);
        }
        Optional<HostRecord> record = view.members().host(host);
        if (record.isEmpty()) {
            return null;
        }
        CallResult<PlaceAnswer> result = network.call(record.get().peers(), RouteChannels.PLACE, place, PLACE_TIMEOUT)
                .join();
        return result instanceof CallResult.Answered<PlaceAnswer> answered ? answered.value() : null;
    }

    private void stream(Work work, Grant grant, AnswerSink sink) throws IOException {
        EngineClient engine = engines.client(grant.protocol(), grant.engine()).orElseThrow();
        EngineRequest request = new EngineRequest(
                grant.attempt(),
                self.host(),
                self.incarnation(),
                grant.model(),
                work.request().adapter(),
                work.request().prompt(),
                work.promptTokens(),
                work.maxOutputTokens(),
                work.call().organisation().priority(),
                List.of(),
                List.of());
        BlockingQueue<StreamEvent> events = new LinkedBlockingQueue<>(MAX_QUEUED_EVENTS);
        AutoCloseable handle = engine.start(request, event -> put(events, event));
        boolean whole = false;
        try {
            whole = pump(work, events, sink);
        } finally {
            close(handle);
            if (!whole) {
                engine.cancel(grant.attempt());
            }
        }
    }

    /** True once the caller has the whole answer. */
    private boolean pump(Work work, BlockingQueue<StreamEvent> events, AnswerSink sink) throws IOException {
        int next = 0;
        while (true) {
            long left = work.call().remainingMillis(clock);
            if (left <= 0) {
                sink.refuse(new Refusal(
                        RefusalReason.DEADLINE, "the answer did not finish in time", Ran.YES, RETRY_MILLIS));
                return false;
            }
            StreamEvent event = poll(events, Math.min(left, IDLE_MILLIS));
            if (event == null) {
                sink.idle();
            } else if (event instanceof StreamEvent.Piece piece && piece.index() == next) {
                next++;
                sink.piece(piece.text());
            } else if (event instanceof StreamEvent.End end) {
                sink.end(end.count(), end.reason());
                return true;
            } else if (event instanceof StreamEvent.Failed failed) {
                sink.refuse(new Refusal(
                        RefusalReason.BACKEND_FAILED,
                        "the engine failed: " + failed.why(),
                        failed.ran(),
                        RETRY_MILLIS));
                return false;
            }
        }
    }

    private static StreamEvent poll(BlockingQueue<StreamEvent> events, long millis) throws IOException {
        try {
            return events.poll(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("stopping", e);
        }
    }

    private static void put(BlockingQueue<StreamEvent> events, StreamEvent event) {
        try {
            events.put(event);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void close(AutoCloseable handle) throws IOException {
        try {
            handle.close();
        } catch (Exception e) {
            throw new IOException(e);
        }
    }
}
