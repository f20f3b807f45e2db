package org.elmline.daemon.caller;

import java.io.IOException;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.elmline.core.common.LengthClass;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.Ran;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.stream.RetryBudget;
import org.elmline.core.timeline.EventRing;
import org.elmline.core.timeline.RequestEvent;
import org.elmline.daemon.backend.EngineClients;
import org.elmline.daemon.entry.HostIdentity;

/** Serves completion requests; holds the components that they share. */
public final class CompletionGateway {
    private static final double RETRY_RATIO = 0.1;
    private static final double RETRY_BURST = 20;
    private static final long STOPPING_RETRY_AFTER_MILLIS = 500;

    private final HostIdentity self;
    private final MonotonicClock clock;
    private final Placer placer;
    private final GrantTracker grants;
    private final EngineClients engines;
    private final EngineCancellations cancellations;
    private final PromptQuarantine quarantine;
    private final RetryBudget retryBudget = new RetryBudget(RETRY_RATIO, RETRY_BURST);
    private final EventRing events;
    private final MetricRegistry metrics;
    private final Counter disconnectedCallers;

    public CompletionGateway(
            HostIdentity self,
            MonotonicClock clock,
            Placer placer,
            GrantTracker grants,
            EngineClients engines,
            EngineCancellations cancellations,
            PromptQuarantine quarantine,
            EventRing events,
            MetricRegistry metrics) {
        this.self = self;
        this.clock = clock;
        this.placer = placer;
        this.grants = grants;
        this.engines = engines;
        this.cancellations = cancellations;
        this.quarantine = quarantine;
        this.events = events;
        this.metrics = metrics;
        this.disconnectedCallers = metrics.counter("gateway.callers.left");
    }

    /** Blocks the calling worker until the request is answered or refused, or its caller has disconnected. */
    void serve(AdmittedCompletion completion, AnswerSink sink) {
        retryBudget.onFirstAttempt();
        try {
            new CompletionExecution(this, completion, sink).run();
        } catch (IOException e) {
            disconnectedCallers.inc();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            refuseQuietly(
                    sink,
                    new Refusal(
                            RefusalReason.LEAVING, "this host is stopping", Ran.UNKNOWN, STOPPING_RETRY_AFTER_MILLIS));
        }
    }

    private static void refuseQuietly(AnswerSink sink, Refusal refusal) {
        try {
            sink.refuse(refusal);
        } catch (IOException e) {
            // The caller has disconnected as well, so there is no one to answer.
        }
    }

    HostIdentity self() {
        return self;
    }

    MonotonicClock clock() {
        return clock;
    }

    Placer placer() {
        return placer;
    }

    GrantTracker grants() {
        return grants;
    }

    EngineClients engines() {
        return engines;
    }

    EngineCancellations cancellations() {
        return cancellations;
    }

    PromptQuarantine quarantine() {
        return quarantine;
    }

    void record(RequestEvent event) {
        events.record(event);
    }

    RetryBudget retryBudget() {
        return retryBudget;
    }

    /** Time from receipt of a request to its first token, for prompts of one length class. */
    Timer firstTokenTimer(LengthClass lengthClass) {
        return metrics.timer("gateway.first-token." + lengthClass.name().toLowerCase(java.util.Locale.ROOT));
    }

    Counter counter(String name) {
        return metrics.counter("gateway." + name);
    }
}
