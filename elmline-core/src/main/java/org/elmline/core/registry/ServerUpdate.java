package org.elmline.core.registry;

/**
 * A control host's report of a backend server.
 *
 * @param silent whether the server has expired: neither the control host nor one that it exchanges state with has
 *     received a heartbeat within the timeout
 * @param remembered whether the server was restored after the control host's restart and no heartbeat of it has arrived
 *     since
 */
public record ServerUpdate(Registration registration, boolean silent, boolean remembered) {
    public ServerUpdate {
        if (registration == null) {
            throw new IllegalArgumentException("an update of a server needs its registration");
        }
    }
}
