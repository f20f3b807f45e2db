package org.elmline.core.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.elmline.core.common.OrganisationId;
import org.elmline.core.config.BackendRole;
import org.elmline.core.config.ConfigObject;
import org.elmline.core.config.Configuration;
import org.elmline.core.config.Model;
import org.elmline.core.config.Organisation;

/**
 * Checks that everything a ticket refers to exists, and that no API key belongs to two organisations, in the
 * configuration that would result from it.
 */
final class TicketValidator {
    private final Configuration before;
    private final Map<String, ConfigObject> changedObjects = new HashMap<>();

    TicketValidator(Configuration before, List<ConfigObject> objects) {
        this.before = before;
        for (ConfigObject each : objects) {
            changedObjects.put(each.key(), each);
        }
    }

    /** Returns a description of the first error for the operator; empty when the ticket is valid. */
    Optional<String> findError(List<ConfigObject> objects) {
        for (ConfigObject each : objects) {
            Optional<String> fault = Optional.empty();
            if (each instanceof BackendRole role) {
                fault = findRoleError(role);
            } else if (each instanceof Organisation organisation) {
                fault = findApiKeyError(organisation);
            }
            if (fault.isPresent()) {
                return fault;
            }
        }
        return Optional.empty();
    }

    private Optional<String> findRoleError(BackendRole role) {
        Optional<Model> model = modelAfterTicket(role);
        if (model.isEmpty()) {
            return Optional.of(role.key() + " names the model " + role.model() + ", which doesn't exist");
        }
        Set<String> unknown = new HashSet<>(role.adapters());
        unknown.removeAll(model.get().adapters());
        if (!unknown.isEmpty()) {
            String first = unknown.stream().sorted().findFirst().orElseThrow();
            return Optional.of(
                    role.key() + " names the adapter " + first + ", which " + role.model() + " doesn't have");
        }
        return Optional.empty();
    }

    private Optional<Model> modelAfterTicket(BackendRole role) {
        ConfigObject set = changedObjects.get("model/" + role.model());
        if (set instanceof Model model) {
            return model.removed() ? Optional.empty() : Optional.of(model);
        }
        return before.model(role.model());
    }

    /**
     * Returns an error if another organisation has one of this organisation's API keys: organisations with the same key
     * hash could read each other's answers and claims.
     */
    private Optional<String> findApiKeyError(Organisation organisation) {
        if (organisation.removed()) {
            return Optional.empty();
        }
        for (String hash : organisation.keyHashes()) {
            Optional<OrganisationId> holder = otherOrganisationWithKey(organisation.id(), hash);
            if (holder.isPresent()) {
                return Optional.of(organisation.key() + " has an API key that organisation/" + holder.get() + " has");
            }
        }
        return Optional.empty();
    }

    private Optional<OrganisationId> otherOrganisationWithKey(OrganisationId id, String hash) {
        for (ConfigObject each : changedObjects.values()) {
            if (each instanceof Organisation other
                    && hasKeyHash(other, hash)
                    && !other.id().equals(id)) {
                return Optional.of(other.id());
            }
        }
        return before.organisationByKeyHash(hash)
                .filter(o -> !o.id().equals(id) && !changedObjects.containsKey(o.key()))
                .map(Organisation::id);
    }

    private static boolean hasKeyHash(Organisation organisation, String hash) {
        return !organisation.removed() && organisation.keyHashes().contains(hash);
    }
}
