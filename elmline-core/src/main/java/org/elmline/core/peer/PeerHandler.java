package org.elmline.core.peer;

import java.util.concurrent.CompletionStage;

/** Answers the calls that arrive on one channel. Runs on a worker and must not block it for long. */
@FunctionalInterface
public interface PeerHandler<Q, R> {
    CompletionStage<R> handle(Q request);
}
