package org.elmline.core.peer;

import java.util.concurrent.CompletionStage;

/** Handles the calls received on one channel. Runs on a worker thread and must not block it for long. */
@FunctionalInterface
public interface PeerHandler<Q, R> {
    CompletionStage<R> handle(Q request);
}
