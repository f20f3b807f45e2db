package org.elmline.standin.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.elmline.core.common.AttemptId;
import org.elmline.core.engine.CacheEvents;
import org.elmline.core.engine.EngineLoad;
import org.elmline.core.engine.EngineOrder;
import org.elmline.core.engine.EngineRequest;
import org.elmline.core.engine.EngineState;
import org.elmline.core.engine.KvExport;
import org.elmline.core.engine.OrderAnswer;
import org.elmline.core.engine.PromptBlocks;
import org.elmline.core.engine.StreamInfo;
import org.elmline.standin.AnswerText;
import org.elmline.standin.model.EngineModel;
import org.elmline.standin.model.SequenceRequest;
import org.elmline.standin.model.StepListener;
import org.elmline.wire.engine.ExportedKv;

/**
 * Runs the engine model in real time, with its streams, exports and orders. One thread drives the model's steps.
 * Thread-safe; lock order: this engine, then one of its streams.
 */
final class Engine implements AutoCloseable, StepListener {
    private static final long MAX_WAIT_MILLIS = 50;

    private final EngineSettings settings;
    private final EngineFaults faults;
    private final LongSupplier clock;
    private final EngineModel model;
    private final CacheEventLog cacheEvents;
    private final DelayedLoad delayedLoad;
    private final OrderedState orderedState;
    private final Map<AttemptId, EngineStream> streams = new HashMap<>();
    private final Map<Long, EngineStream> streamsById = new HashMap<>();
    private final Map<String, KvSegment> kvSegments = new HashMap<>();
    private final Thread thread;
    private long lastId;
    private boolean closed;

    /**
     * Starts the engine.
     *
     * @param clock engine time in nanoseconds: real time multiplied by the time scale
     */
    Engine(EngineSettings settings, EngineFaults faults, LongSupplier clock) {
        this.settings = settings;
        this.faults = faults;
        this.clock = clock;
        cacheEvents =
                new CacheEventLog(settings.cacheEventDelayNanos(), settings.cacheEventLossRate(), settings.seed());
        delayedLoad = new DelayedLoad(settings.loadReportDelayNanos());
        model = new EngineModel(settings.profile(), cacheEvents::add);
        orderedState = new OrderedState(settings);
        thread = new Thread(this::run, "engine " + settings.id());
        thread.setDaemon(true);
        thread.start();
    }

    /** The started stream, or the reason why the start was refused before it ran; the other one is null. */
    record StartResult(EngineStream stream, StartRefusal refusal) {}

    /**
     * Refusals that mean to the caller that nothing ran, except {@code DUPLICATE}, whose first attempt may have run.
     */
    enum StartRefusal {
        WRONG_MODEL(409),
        NOT_READY(503),
        TOO_LARGE(413),
        IMPORT_MISSING(409),
        DUPLICATE(410);

        private final int status;

        StartRefusal(int status) {
            this.status = status;
        }

        int status() {
            return status;
        }
    }

    synchronized StartResult start(EngineRequest request) {
        StartRefusal refused = refusal(request);
        if (refused != null) {
            return new StartResult(null, refused);
        }
        AnswerText answer = AnswerText.ofState(textState(request), request.maxOutputTokens());
        int firstIndex = Math.min(request.delivered().size(), answer.pieceCount());
        EngineStream stream = new EngineStream(
                ++lastId, request.attempt(), request.host(), request.incarnation(), answer, firstIndex);
        SequenceRequest sequence = sequence(stream.id(), request, answer.pieceCount() - firstIndex, firstIndex);
        if (!model.submit(sequence, now())) {
            return new StartResult(null, StartRefusal.TOO_LARGE);
        }
        streams.put(stream.attempt(), stream);
        streamsById.put(stream.id(), stream);
        notifyAll();
        return new StartResult(stream, null);
    }

    synchronized Optional<EngineStream> stream(AttemptId attempt) {
        return Optional.ofNullable(streams.get(attempt));
    }

    /**
     * Frees the memory of a stream whose end was written to a reader; its text can be read again during the retention.
     */
    synchronized void onDelivered(EngineStream stream) {
        model.release(stream.id());
    }

    synchronized void cancel(AttemptId attempt) {
        EngineStream stream = streams.remove(attempt);
        if (stream != null) {
            removeStream(stream);
        }
        KvSegment export = kvSegments.get(attempt.value());
        if (export != null) {
            freeExport(attempt.value());
        }
    }

    synchronized boolean changePriority(AttemptId attempt, int priority) {
        EngineStream stream = streams.get(attempt);
        return stream != null && model.changePriority(stream.id(), priority);
    }

    synchronized List<StreamInfo> streamInfos() {
        List<StreamInfo> infos = new ArrayList<>();
        for (EngineStream each : streams.values()) {
            long tokens = model.allocatedKvTokens(each.id());
            if (tokens > 0 || !each.isFinished()) {
                infos.add(new StreamInfo(each.attempt(), each.host(), each.incarnation(), tokens));
            }
        }
        return infos;
    }

    /** Streams that are not finished, or whose end no reader has received. */
    synchronized int openStreams() {
        return model.openSequences() - computedExportCount();
    }

    synchronized long usedKvTokens() {
        return model.usedKvTokens();
    }

    /** Starts to compute a segment for export; its stream finishes when the export is ready. */
    synchronized StartResult startExport(EngineRequest segment) {
        StartRefusal refused = refusal(segment);
        if (refused != null || kvSegments.containsKey(segment.attempt().value())) {
            return new StartResult(null, refused == null ? StartRefusal.DUPLICATE : refused);
        }
        long state = textState(segment);
        EngineStream stream = new EngineStream(
                ++lastId,
                segment.attempt(),
                segment.host(),
                segment.incarnation(),
                AnswerText.ofState(state, 1),
                Integer.MAX_VALUE);
        SequenceRequest sequence = sequence(stream.id(), segment, 0, 0);
        if (!model.submit(sequence, now())) {
            return new StartResult(null, StartRefusal.TOO_LARGE);
        }
        KvExport export = new KvExport(
                segment.attempt().value(),
                segment.attempt(),
                segment.host(),
                segment.incarnation(),
                sequence.promptTokens());
        kvSegments.put(export.id(), new KvSegment(stream.id(), export, sequence.promptTokens(), state, false));
        streamsById.put(stream.id(), stream);
        notifyAll();
        return new StartResult(stream, null);
    }

    synchronized Optional<ExportedKv> findExport(String id) {
        KvSegment kv = kvSegments.get(id);
        if (kv == null || !isReady(kv)) {
            return Optional.empty();
        }
        KvExport export = kv.export();
        KvExport whole = new KvExport(id, export.attempt(), export.host(), export.incarnation(), kv.contextTokens());
        return Optional.of(new ExportedKv(whole, kv.textState()));
    }

    private boolean isReady(KvSegment kv) {
        EngineStream stream = streamsById.get(kv.id());
        return kv.imported() || stream != null && stream.isFinished();
    }

    /** Imports KV that another engine exported; true also when it is already present. */
    synchronized boolean importKv(ExportedKv exported) {
        KvExport export = exported.export();
        if (kvSegments.containsKey(export.id())) {
            return true;
        }
        long tokens = Math.max(1, (long) (export.tokens() * settings.importedShare()));
        long id = ++lastId;
        if (!model.reserveExternal(id, tokens, now())) {
            return false;
        }
        KvExport imported = new KvExport(export.id(), export.attempt(), export.host(), export.incarnation(), tokens);
        kvSegments.put(export.id(), new KvSegment(id, imported, export.tokens(), exported.textState(), true));
        return true;
    }

    synchronized void freeExport(String exportId) {
        KvSegment kv = kvSegments.remove(exportId);
        if (kv == null) {
            return;
        }
        if (kv.imported()) {
            model.releaseExternal(kv.id());
            return;
        }
        EngineStream stream = streamsById.get(kv.id());
        if (stream != null) {
            removeStream(stream);
        }
    }

    synchronized List<KvExport> exports() {
        return kvSegments.values().stream().map(KvSegment::export).toList();
    }

    synchronized OrderAnswer order(EngineOrder order) {
        return orderedState.accept(order, now());
    }

    synchronized EngineState state() {
        return orderedState.state(now());
    }

    synchronized EngineLoad load() {
        EngineLoad actual = new EngineLoad(openStreams(), model.usedKvTokens(), model.prefillBacklogTokens());
        EngineLoad delayed = delayedLoad.report(actual, now());
        return faults.reportsNoLoad() ? new EngineLoad(0, 0, 0) : delayed;
    }

    synchronized CacheEvents cacheEventsAfter(long sequence) {
        return cacheEvents.after(sequence, now());
    }

    @Override
    public void onToken(long id, int index, long atNanos) {
        EngineStream stream = streamsById.get(id);
        if (stream != null) {
            stream.onGenerated(index);
        }
    }

    @Override
    public void onFinished(long id, long atNanos) {
        EngineStream stream = streamsById.get(id);
        if (stream != null) {
            stream.onFinished(atNanos);
        }
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            streamsById.values().forEach(EngineStream::cancel);
            notifyAll();
        }
        thread.interrupt();
    }

    private long now() {
        return clock.getAsLong();
    }

    private int computedExportCount() {
        int own = 0;
        for (KvSegment each : kvSegments.values()) {
            own += each.imported() ? 0 : 1;
        }
        return own;
    }

    private void removeStream(EngineStream stream) {
        streamsById.remove(stream.id());
        model.release(stream.id());
        stream.cancel();
    }

    private StartRefusal refusal(EngineRequest request) {
        EngineState state = orderedState.state(now());
        if (streams.containsKey(request.attempt())) {
            return StartRefusal.DUPLICATE;
        }
        if (!state.ready()) {
            return StartRefusal.NOT_READY;
        }
        boolean adapterKnown = request.adapter() == null
                || request.adapter().isEmpty()
                || state.adapters().contains(request.adapter());
        if (!state.model().equals(request.model()) || !adapterKnown) {
            return StartRefusal.WRONG_MODEL;
        }
        return kvSegments.keySet().containsAll(request.kvImports()) ? null : StartRefusal.IMPORT_MISSING;
    }

    private long textState(EngineRequest request) {
        List<String> imports = request.kvImports();
        long before = imports.isEmpty()
                ? AnswerText.initialState(request.model(), request.adapter())
                : kvSegments.get(imports.get(imports.size() - 1)).textState();
        return AnswerText.extend(before, request.prompt());
    }

    private SequenceRequest sequence(long id, EngineRequest request, int outputTokens, int deliveredTokens) {
        long imported = 0;
        for (String each : request.kvImports()) {
            imported += kvSegments.get(each).contextTokens();
        }
        int own = (int) Math.max(1, request.promptTokens() - imported) + deliveredTokens;
        long[] blocks = imported > 0 ? new long[0] : blockHashes(request);
        return new SequenceRequest(id, own, imported, outputTokens, request.priority(), blocks);
    }

    private static long[] blockHashes(EngineRequest request) {
        String adapter = request.adapter() == null ? "" : request.adapter();
        List<Long> hashes = PromptBlocks.blockHashes(request.model().value(), adapter, request.prompt());
        return hashes.stream().mapToLong(Long::longValue).toArray();
    }

    private void run() {
        try {
            while (runOnce()) {
                // All work is done under the lock in runOnce.
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean runOnce() throws InterruptedException {
        long now = now();
        model.slowdown(faults.slowdown() * faults.cold().slowdown());
        model.advance(now, this);
        evictExpiredStreams(now);
        if (closed) {
            return false;
        }
        wait(millisUntil(model.nextStepEndNanos(), now));
        return !closed;
    }

    private long millisUntil(long nextNanos, long now) {
        if (nextNanos == EngineModel.IDLE) {
            return MAX_WAIT_MILLIS;
        }
        double realNanos = (nextNanos - now) / settings.timeScale();
        return Math.max(1, Math.min(MAX_WAIT_MILLIS, (long) (realNanos / 1e6)));
    }

    private void evictExpiredStreams(long now) {
        Iterator<EngineStream> all = streams.values().iterator();
        while (all.hasNext()) {
            EngineStream each = all.next();
            if (each.isFinished() && now - each.finishedNanos() > settings.retentionNanos()) {
                all.remove();
                removeStream(each);
            }
        }
    }

    synchronized boolean isClosed() {
        return closed;
    }
}
