package org.elmline.core.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.elmline.core.common.OrganisationId;
import org.elmline.core.common.ServiceName;

/** Validates the parts of a routing table before it is put in force. */
final class RoutingTableValidator {
    private final List<CallRoute> routes;
    private final List<RoutedService> services;
    private final List<KeyHolder> keyHolders;

    RoutingTableValidator(List<CallRoute> routes, List<RoutedService> services, List<KeyHolder> holders) {
        this.routes = routes;
        this.services = services;
        this.keyHolders = holders;
    }

    /** The message of the first error; empty if the table is valid. */
    Optional<String> firstError() {
        return serviceError().or(this::routeError).or(this::keyError);
    }

    private Optional<String> serviceError() {
        Set<ServiceName> names = new HashSet<>();
        for (RoutedService each : services) {
            if (!names.add(each.name())) {
                return Optional.of("the service " + each.name() + " is given twice");
            }
        }
        return Optional.empty();
    }

    private Optional<String> routeError() {
        Set<ServiceName> knownServices = new HashSet<>();
        services.forEach(each -> knownServices.add(each.name()));
        Set<String> hostsAndPaths = new HashSet<>();
        for (CallRoute each : routes) {
            if (!hostsAndPaths.add(each.host() + each.pathPrefix())) {
                return Optional.of("two routes share " + each.host() + each.pathPrefix());
            }
            Optional<String> error = routeError(each, knownServices);
            if (error.isPresent()) {
                return error;
            }
        }
        return Optional.empty();
    }

    private static Optional<String> routeError(CallRoute route, Set<ServiceName> knownServices) {
        for (WeightedService each : route.weightedServices()) {
            if (!knownServices.contains(each.service())) {
                return Optional.of("route " + route.name() + " names the unknown service " + each.service());
            }
        }
        if (route.totalWeight() == 0) {
            return Optional.of("the weights of route " + route.name() + " add up to 0");
        }
        if (route.timeoutMillis() < 1) {
            return Optional.of("route " + route.name() + " has no timeout");
        }
        boolean hasSlashes =
                route.pathPrefix().startsWith("/") && route.pathPrefix().endsWith("/");
        return hasSlashes
                ? Optional.empty()
                : Optional.of("the prefix of route " + route.name() + " needs its slashes");
    }

    /** Rejects a key that two organisations share, since their callers could not be told apart. */
    private Optional<String> keyError() {
        Map<String, OrganisationId> organisationByKey = new HashMap<>();
        for (KeyHolder each : keyHolders) {
            for (String key : each.keys()) {
                OrganisationId other = organisationByKey.put(key, each.organisation());
                if (other != null && !other.equals(each.organisation())) {
                    return Optional.of(each.organisation() + " and " + other + " share a key");
                }
            }
        }
        return Optional.empty();
    }
}
