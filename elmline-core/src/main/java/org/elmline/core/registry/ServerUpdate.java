package org.elmline.core.registry;

/**
 * What a control host tells of a backend server.
 *
 * @param silent whether no heartbeat has reached any control host that it hears for too long
 * @param remembered whether it is only known from before the control host's restart, and not heard since
 */
public record ServerUpdate(Registration registration, boolean silent, boolean remembered) {}
