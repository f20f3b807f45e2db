package org.elmline.daemon.caller;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.Ran;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.engine.EngineClient;
import org.elmline.core.engine.KvExport;
import org.elmline.core.group.GroupPlan;
import org.elmline.core.group.GroupReservation;
import org.elmline.core.group.GroupRun;
import org.elmline.core.group.GroupStep;
import org.elmline.core.placement.Demand;
import org.elmline.core.placement.PrefillCost;
import org.elmline.core.route.Grant;
import org.elmline.core.route.OwnerPlaceAnswer;
import org.elmline.core.route.PlaceRequest;
import org.elmline.core.route.ReleaseCause;
import org.elmline.core.stream.Cancel;
import org.elmline.core.timeline.RequestEvent;

/**
 * Serves a prompt larger than any engine by a group of them: reserves all or nothing, prefills the segments one after
 * another, streams the answer from the last engine, and frees every engine however the request ends. Runs on one
 * worker.
 */
final class GroupExecution {
    /**
     * Memory that importing a segment takes at most on another engine, as a fraction of the segment's memory; see
     * docs/ENGINE-PROTOCOL.md.
     */
    private static final double IMPORT_MEMORY_SHARE = 1.0 / 16;

    private static final int MAX_RESERVATION_ATTEMPTS = 20;
    private static final int MAX_RESUMES = 3;
    private static final long RETRY_DELAY_MILLIS = 200;
    private static final long RETRY_AFTER_MILLIS = 5_000;

    private final CompletionGateway gateway;
    private final AdmittedCompletion completion;
    private final AnswerForwarder forwarder;
    private final Demand demand;

    GroupExecution(CompletionGateway gateway, AdmittedCompletion completion, AnswerForwarder forwarder, Demand demand) {
        this.gateway = gateway;
        this.completion = completion;
        this.forwarder = forwarder;
        this.demand = demand;
    }

    /** Empty once the caller has the whole answer, else the refusal to send. */
    Optional<Refusal> run() throws IOException, InterruptedException {
        for (int i = 0; i < MAX_RESERVATION_ATTEMPTS && remainingMillis() > 0; i++) {
            PlaceRequest whole = new PlaceRequest(
                    AttemptId.of(completion.call().id() + "/g" + i),
                    gateway.self().host(),
                    gateway.self().incarnation(),
                    completion.call().organisation().id(),
                    demand);
            Optional<GroupPlan> plan = GroupPlan.of(
                    demand.promptTokens(),
                    demand.maxOutputTokens(),
                    gateway.placer().slots(demand.model()),
                    IMPORT_MEMORY_SHARE,
                    PrefillCost.DEFAULT);
            if (plan.isPresent() && plan.get().predictedFirstTokenMillis() > remainingMillis()) {
                return Optional.of(Refusal.retryLater(
                        RefusalReason.DEADLINE,
                        "reading " + demand.promptTokens() + " tokens takes about "
                                + plan.get().predictedFirstTokenMillis() + " ms, more than the time limit",
                        RETRY_AFTER_MILLIS));
            }
            if (plan.isPresent()) {
                GroupReservation reservation = reserve(whole, plan.get());
                if (reservation.isComplete()) {
                    return serve(whole, plan.get(), reservation.grants());
                }
            }
            // Groups that compete for the same engines release what they hold and retry after random delays, so that
            // they do not collide again.
            Thread.sleep(RETRY_DELAY_MILLIS + ThreadLocalRandom.current().nextLong(RETRY_DELAY_MILLIS));
        }
        return Optional.of(Refusal.retryLater(
                RefusalReason.OVERLOADED, "no group of engines has room for this prompt now", RETRY_AFTER_MILLIS));
    }

    private GroupReservation reserve(PlaceRequest whole, GroupPlan plan) throws InterruptedException {
        GroupReservation reservation = new GroupReservation(whole, plan);
        Optional<GroupReservation.OwnerCall> call = reservation.nextCall();
        while (call.isPresent()) {
            Optional<OwnerPlaceAnswer> answer =
                    gateway.placer().requestPlace(call.get().owner(), call.get().request(), completion.call());
            if (answer.isPresent()) {
                reservation.onAnswer(answer.get());
            } else {
                reservation.onNoAnswer();
            }
            if (answer.isPresent() && answer.get() instanceof OwnerPlaceAnswer.Placed placed) {
                gateway.grants().open(placed.grant(), call.get().owner());
            }
            call = reservation.nextCall();
        }
        for (GroupReservation.OwnerRelease each : reservation.releases()) {
            gateway.grants().releaseUnused(each.attempt(), each.owner());
        }
        return reservation;
    }

    private Optional<Refusal> serve(PlaceRequest whole, GroupPlan plan, List<Grant> grants)
            throws IOException, InterruptedException {
        gateway.counter("groups").inc();
        GroupRun run = new GroupRun(whole, plan, grants, completion.request().prompt());
        try {
            return runSteps(run);
        } finally {
            freeEngines(run);
        }
    }

    private Optional<Refusal> runSteps(GroupRun run) throws IOException, InterruptedException {
        Optional<GroupStep> next = run.nextStep(forwarder.deliveredPieces());
        while (next.isPresent()) {
            GroupStep step = next.get();
            Optional<EngineClient> engine = client(step.target());
            if (engine.isEmpty()) {
                return Optional.of(
                        failureRefusal("no plug-in speaks " + step.target().protocol()));
            }
            if (step instanceof GroupStep.StreamAnswer stream) {
                return streamAnswer(engine.get(), stream);
            }
            Optional<Refusal> refusal = step instanceof GroupStep.ImportKv transfer
                    ? importKv(run, engine.get(), transfer)
                    : exportKv(run, engine.get(), (GroupStep.ExportKv) step);
            if (refusal.isPresent()) {
                return refusal;
            }
            next = run.nextStep(forwarder.deliveredPieces());
        }
        return Optional.empty();
    }

    private Optional<Refusal> importKv(GroupRun run, EngineClient engine, GroupStep.ImportKv step)
            throws InterruptedException {
        Optional<EngineClient> from = client(step.source());
        CallResult<Boolean> result = from.isEmpty()
                ? new CallResult.NotSent<>("the exporting engine is gone")
                : await(engine.importKv(step.export(), from.get()));
        if (result instanceof CallResult.Answered<Boolean> answered && answered.value()) {
            run.imported();
            return Optional.empty();
        }
        return Optional.of(failureRefusal("an engine could not import a segment: " + failureReason(result)));
    }

    private Optional<Refusal> exportKv(GroupRun run, EngineClient engine, GroupStep.ExportKv step)
            throws InterruptedException {
        gateway.grants().reportBegun(step.target().attempt());
        gateway.record(new RequestEvent.Placed(
                completion.call().id(),
                step.target().attempt(),
                step.target().server(),
                step.target().host()));
        long started = gateway.clock().millis();
        CallResult<KvExport> result = await(engine.exportKv(step.request()));
        if (result instanceof CallResult.Answered<KvExport> answered) {
            gateway.grants()
                    .reportFirstToken(step.target().attempt(), gateway.clock().millis() - started);
            run.exported(answered.value());
            return Optional.empty();
        }
        return Optional.of(failureRefusal("an engine failed to read its segment: " + failureReason(result)));
    }

    private Optional<Refusal> streamAnswer(EngineClient engine, GroupStep.StreamAnswer step)
            throws IOException, InterruptedException {
        gateway.grants().reportBegun(step.target().attempt());
        StreamOutcome outcome = forwarder.start(engine, step.request());
        while (outcome instanceof StreamOutcome.Broken broken
                && broken.reachable()
                && forwarder.resumeCount() < MAX_RESUMES) {
            outcome = forwarder.resume(engine);
        }
        if (outcome instanceof StreamOutcome.Complete) {
            gateway.record(new RequestEvent.Finished(completion.call().id(), forwarder.deliveredCount()));
            return Optional.empty();
        }
        return Optional.of(
                outcome instanceof StreamOutcome.Broken broken ? failureRefusal(broken.why()) : deadlineRefusal());
    }

    /**
     * Cancellations are repeated until the engines acknowledge them; a grant is released with its engine's last
     * acknowledgement.
     */
    private void freeEngines(GroupRun run) {
        for (Cancel each : run.end()) {
            gateway.cancellations().free(each, grantOn(run, each), freed -> {
                Optional<Grant> last;
                synchronized (run) {
                    last = run.freed(freed);
                }
                last.ifPresent(grant -> gateway.grants().release(grant.attempt(), ReleaseCause.CANCELLED));
            });
        }
    }

    private static Grant grantOn(GroupRun run, Cancel cancel) {
        return run.grants().stream()
                .filter(each -> each.server().equals(cancel.server()))
                .findFirst()
                .orElseThrow();
    }

    private <T> CallResult<T> await(CompletableFuture<CallResult<T>> future) throws InterruptedException {
        try {
            return future.get(Math.max(1, remainingMillis()), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            return new CallResult.Unknown<>("out of time");
        } catch (ExecutionException e) {
            throw new IllegalStateException("engine call failed with an exception instead of a CallResult", e);
        }
    }

    private Optional<EngineClient> client(Grant grant) {
        return gateway.engines().client(grant.protocol(), grant.engine());
    }

    private static String failureReason(CallResult<?> result) {
        if (result instanceof CallResult.NotSent<?> notSent) {
            return notSent.reason();
        }
        return result instanceof CallResult.Unknown<?> unknown ? unknown.reason() : "it refused";
    }

    private Refusal failureRefusal(String why) {
        if (remainingMillis() <= 0) {
            return deadlineRefusal();
        }
        return new Refusal(RefusalReason.BACKEND_FAILED, why, Ran.YES, RETRY_AFTER_MILLIS);
    }

    private static Refusal deadlineRefusal() {
        return new Refusal(RefusalReason.DEADLINE, "the answer did not finish in time", Ran.YES, RETRY_AFTER_MILLIS);
    }

    private long remainingMillis() {
        return completion.call().remainingMillis(gateway.clock());
    }
}
