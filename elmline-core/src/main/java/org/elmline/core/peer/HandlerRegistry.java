package org.elmline.core.peer;

/**
 * Registers the handlers of the channels that a process serves. Registering a channel name twice breaks an invariant of
 * the process.
 */
public interface HandlerRegistry {
    <Q, R> void register(Channel<Q, R> channel, PeerHandler<Q, R> handler);

    /**
     * Registers a handler that only takes a moment and never blocks. It runs at once, past the calls that wait for a
     * worker, so that the messages of an election do not wait behind the polls of all other hosts.
     */
    <Q, R> void registerImmediate(Channel<Q, R> channel, PeerHandler<Q, R> handler);
}
