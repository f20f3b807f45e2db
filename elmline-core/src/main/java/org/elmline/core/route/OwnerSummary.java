package org.elmline.core.route;

import java.util.List;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/**
 * State that an owner sends to every entry, on change and at a long interval. Only a hint: the owner's answer to a
 * request decides.
 *
 * @param sequence rises with each summary of one incarnation; an older one that arrives late is dropped
 * @param servers ids of the owned backend servers, shortened to 32 bits, so that a gateway finds the owner of a grant
 */
public record OwnerSummary(
        HostId owner,
        Incarnation incarnation,
        long sequence,
        List<Integer> servers,
        List<ModelSummary> models,
        List<ServiceReplica> services) {
    public OwnerSummary {
        servers = List.copyOf(servers);
        models = List.copyOf(models);
        services = List.copyOf(services);
    }
}
