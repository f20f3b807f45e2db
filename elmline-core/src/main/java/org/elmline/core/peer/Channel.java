package org.elmline.core.peer;

/**
 * One typed request and answer between elmline processes. Each concern declares its channels as constants; a process
 * registers a handler for those it serves.
 *
 * @param name stable name on the wire, for example {@code lease.renew}
 */
public record Channel<Q, R>(String name, Class<Q> request, Class<R> response) {}
