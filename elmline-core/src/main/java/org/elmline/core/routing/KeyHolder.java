package org.elmline.core.routing;

import java.util.List;

import org.elmline.core.common.OrganisationId;

/**
 * An organisation and the API keys of its callers. Immutable.
 *
 * @param priority priority that overrides the route's, 0 is the most urgent; null to use the route's
 */
public record KeyHolder(OrganisationId organisation, List<String> keys, Integer priority) {
    public KeyHolder {
        keys = List.copyOf(keys);
    }
}
