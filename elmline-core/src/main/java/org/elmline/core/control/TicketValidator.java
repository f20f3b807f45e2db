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
    private final Configuration currentConfiguration;
    private final Map<String, ConfigObject> changedObjects = new HashMap<>();

    TicketValidator(Configuration currentConfiguration, List<ConfigObject> objects) {
        this.currentConfiguration = currentConfiguration;
        for (ConfigObject each : objects) {
            changedObjects.put(each.key(), each);
        }
    }

    /** Returns a description of the first error for the operator; empty when the ticket is valid. */
    Optional<String> findError(List<ConfigObject> objects) {
        for (ConfigObject each : objects) {
            Optional<String> error = Optional.empty();
            if (each instanceof BackendRole role) {
                error = findRoleError(role);
            } else if (each instanceof Organisation organisation) {
                error = findApiKeyError(organisation);
            }
            if (error.isPresent()) {
                return error;
            }
        }
        return Optional.empty();
    }

    private Optional<String> findRoleError(BackendRole role) {
        Optional<Model> model = modelAfterTicket(role);
        if (model.isEmpty()) {
            return Optional.of(role.key() + " names the model " + role.model() + ", which doesn't exist");
        }
        Set<String> unknownAdapters = new HashSet<>(role.adapters());
        unknownAdapters.removeAll(model.get().adapters());
        if (!unknownAdapters.isEmpty()) {
            String firstUnknown = unknownAdapters.stream().sorted().findFirst().orElseThrow();
            return Optional.of(
                    role.key() + " names the adapter " + firstUnknown + ", which " + role.model() + " doesn't have");
        }
        return Optional.empty();
    }

    private Optional<Model> modelAfterTicket(BackendRole role) {
        ConfigObject changedObject = changedObjects.get("model/" + role.model());
        if (changedObject instanceof Model model) {
            return model.removed() ? Optional.empty() : Optional.of(model);
        }
        return currentConfiguration.model(role.model());
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
            Optional<OrganisationId> otherOwner = otherOrganisationWithKey(organisation.id(), hash);
            if (otherOwner.isPresent()) {
                return Optional.of(
                        organisation.key() + " has an API key that organisation/" + otherOwner.get() + " has");
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
        return currentConfiguration
                .organisationByKeyHash(hash)
                .filter(o -> !o.id().equals(id) && !changedObjects.containsKey(o.key()))
                .map(Organisation::id);
    }

    private static boolean hasKeyHash(Organisation organisation, String hash) {
        return !organisation.removed() && organisation.keyHashes().contains(hash);
    }
}
