package org.elmline.core.peer;

/** Registers the handlers of the channels that a process serves. Each channel name may be registered only once. */
public interface HandlerRegistry {
    <Q, R> void register(Channel<Q, R> channel, PeerHandler<Q, R> handler);
}
