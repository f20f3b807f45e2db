package org.elmline.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.elmline.core.common.ServiceName;

/** The routes, services, keys and caller limits of one version. Immutable. */
public final class RoutingTable {
    private final long version;
    private final Map<String, List<CallRoute>> routesByHost;
    private final Map<ServiceName, RoutedService> services;
    private final Map<String, KeyHolder> keyHolders;
    private final boolean requiresKey;
    private final CallerLimits limits;

    private RoutingTable(Builder builder) {
        version = builder.version;
        limits = builder.limits;
        requiresKey = builder.requiresKey;
        services = new HashMap<>();
        builder.services.forEach(each -> services.put(each.name(), each));
        keyHolders = new HashMap<>();
        builder.keyHolders.forEach(holder -> holder.keys().forEach(key -> keyHolders.put(key, holder)));
        routesByHost = new HashMap<>();
        for (CallRoute each : builder.routes) {
            routesByHost.computeIfAbsent(each.host(), host -> new ArrayList<>()).add(each);
        }
        Comparator<CallRoute> longestFirst =
                Comparator.comparingInt((CallRoute each) -> each.pathPrefix().length());
        routesByHost.values().forEach(each -> each.sort(longestFirst.reversed()));
    }

    /** Number of the ticket that set this table; a higher one is newer. */
    public long version() {
        return version;
    }

    public CallerLimits limits() {
        return limits;
    }

    public Iterable<RoutedService> services() {
        return services.values();
    }

    public Optional<RoutedService> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Finds the route of a host with the longest prefix of the path, and checks the key.
     *
     * @param hostHeader value of the Host header, with or without a port; null if absent
     * @param key the caller's key; null if absent
     */
    public RouteMatch match(String hostHeader, String path, String key) {
        for (CallRoute each : routesByHost.getOrDefault(hostName(hostHeader), List.of())) {
            if (path.startsWith(each.pathPrefix())) {
                return authorise(each, key);
            }
        }
        return new RouteMatch.NoRoute();
    }

    private RouteMatch authorise(CallRoute route, String key) {
        KeyHolder holder = key == null ? null : keyHolders.get(key);
        boolean needsKey = requiresKey && !route.allowsAnonymous();
        return needsKey && holder == null ? new RouteMatch.UnknownKey(route) : new RouteMatch.Allowed(route, holder);
    }

    private static String hostName(String header) {
        if (header == null) {
            return "";
        }
        int colon = header.lastIndexOf(':');
        String name = colon < 0 ? header : header.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }

    public static Builder builder(long version) {
        return new Builder(version);
    }

    /** Builds a table. */
    public static final class Builder {
        private final long version;
        private final List<CallRoute> routes = new ArrayList<>();
        private final List<RoutedService> services = new ArrayList<>();
        private final List<KeyHolder> keyHolders = new ArrayList<>();
        private boolean requiresKey;
        private CallerLimits limits = CallerLimits.DEFAULT;

        private Builder(long version) {
            this.version = version;
        }

        public Builder route(CallRoute value) {
            routes.add(value);
            return this;
        }

        public Builder service(RoutedService value) {
            services.add(value);
            return this;
        }

        public Builder keyHolder(KeyHolder value) {
            keyHolders.add(value);
            return this;
        }

        /** Whether callers need a key on routes that do not allow anonymous calls. */
        public Builder requiresKey(boolean value) {
            requiresKey = value;
            return this;
        }

        public Builder limits(CallerLimits value) {
            limits = value;
            return this;
        }

        /** Returns the table, or the first reason why the parts are invalid. */
        public BuildResult build() {
            Optional<String> error = new RoutingTableValidator(routes, services, keyHolders).firstError();
            return error.<BuildResult>map(BuildResult.Invalid::new)
                    .orElseGet(() -> new BuildResult.Valid(new RoutingTable(this)));
        }
    }

    /** Outcome of building a table. */
    public sealed interface BuildResult {
        /** The parts are consistent. */
        record Valid(RoutingTable table) implements BuildResult {}

        /** The parts are inconsistent; {@code reason} is shown to the operator. */
        record Invalid(String reason) implements BuildResult {}
    }
}
