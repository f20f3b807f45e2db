package org.elmline.core.peer;

/** Where a process registers the channels it serves. Registering one name twice is a broken invariant. */
public interface HandlerRegistry {
    <Q, R> void register(Channel<Q, R> channel, PeerHandler<Q, R> handler);
}
