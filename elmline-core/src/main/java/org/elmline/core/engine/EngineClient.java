package org.elmline.core.engine;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.CallResult;

/**
 * Connection to one model engine. Each engine protocol implements this interface, so no other code depends on a
 * protocol. No method blocks; each future completes normally within the client's timeout.
 */
public interface EngineClient extends AutoCloseable {
    /** Opens a stream; closing the handle stops reading but doesn't cancel the attempt on the engine. */
    AutoCloseable start(EngineRequest request, StreamListener listener);

    /** Reads an open attempt again from piece number {@code offset}. */
    AutoCloseable resume(AttemptId attempt, int offset, StreamListener listener);

    /** Ends an attempt and frees its memory; true once the engine holds nothing for it, also when it never did. */
    CompletableFuture<CallResult<Boolean>> cancel(AttemptId attempt);

    CompletableFuture<CallResult<Boolean>> setPriority(AttemptId attempt, int priority);

    CompletableFuture<CallResult<List<StreamInfo>>> streams();

    /** Prefills a prompt segment after the given imports and keeps its KV for export. */
    CompletableFuture<CallResult<KvExport>> exportKv(EngineRequest segment);

    /** Copies an export that another engine holds into this engine, under the same id. */
    CompletableFuture<CallResult<Boolean>> importKv(KvExport export, EngineClient from);

    CompletableFuture<CallResult<Boolean>> freeKv(String exportId);

    CompletableFuture<CallResult<List<KvExport>>> exports();

    /**
     * Sends an order.
     *
     * @param limit time after which the connection is closed, so that nothing of the order arrives later
     */
    CompletableFuture<CallResult<OrderAnswer>> order(EngineOrder order, Duration limit);

    CompletableFuture<CallResult<EngineState>> state();

    CompletableFuture<CallResult<EngineLoad>> load();

    CompletableFuture<CallResult<CacheEvents>> cacheEvents(long afterSequence);

    @Override
    void close();
}
