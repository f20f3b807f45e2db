package org.elmline.core.peer;

/**
 * A typed call between elmline processes. Each package declares its channels as constants; a process registers a
 * handler for each channel that it serves. Immutable.
 *
 * @param name stable name on the wire, for example {@code lease.renew}
 * @param request type of the request
 * @param response type of the response
 */
public record Channel<Q, R>(String name, Class<Q> request, Class<R> response) {}
