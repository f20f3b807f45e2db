package org.elmline.core.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;

/** Sends typed calls and messages to other elmline processes. Never blocks; every call completes within its timeout. */
public interface PeerNetwork {
    /** Always completes normally: a failure to send or a timeout is a value of {@link CallResult}. */
    <Q, R> CompletableFuture<CallResult<R>> call(Address to, Channel<Q, R> channel, Q request, Duration timeout);

    /**
     * Sends a message whose answer is ignored. While the connection is being opened the message waits for it, however
     * long that takes, and it is lost with the connection. Messages to one address arrive in the order of their sending.
     *
     * @return false when the message is dropped, as there is no connection or too many messages wait for it
     */
    <Q> boolean send(Address to, Channel<Q, ?> channel, Q message);
}
