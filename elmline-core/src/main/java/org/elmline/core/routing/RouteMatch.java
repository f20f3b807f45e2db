package org.elmline.core.routing;

/** Result of matching a call with a routing table. */
public sealed interface RouteMatch {
    /** The call may use this route. The caller is null if no known key was sent and none is required. */
    record Allowed(CallRoute route, KeyHolder caller) implements RouteMatch {
        /** The organisation's priority if it has one, else the route's. */
        public int priority() {
            boolean hasCallerPriority = caller != null && caller.priority() != null;
            return hasCallerPriority ? caller.priority() : route.priority();
        }
    }

    /** No route matches this host and path. */
    record NoRoute() implements RouteMatch {}

    /** The route requires a key, and the call has none or an unknown one. */
    record UnknownKey(CallRoute route) implements RouteMatch {}
}
