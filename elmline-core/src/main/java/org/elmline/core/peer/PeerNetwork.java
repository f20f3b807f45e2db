package org.elmline.core.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;

/** Sends typed calls to other elmline processes. Never blocks; every call completes within its timeout. */
public interface PeerNetwork {
    /** Always completes normally: a failure to send or a timeout is a value of {@link CallResult}. */
    <Q, R> CompletableFuture<CallResult<R>> call(Address to, Channel<Q, R> channel, Q request, Duration timeout);
}
