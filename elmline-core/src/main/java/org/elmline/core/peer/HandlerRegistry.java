package org.elmline.core.peer;

/**
 * Registers the handlers of the channels that a process serves. Registering a channel name twice breaks an invariant of
 * the process.
 */
public interface HandlerRegistry {
    <Q, R> void register(Channel<Q, R> channel, PeerHandler<Q, R> handler);
}
