package org.elmline.daemon.coordinator;

import java.util.List;

import org.elmline.core.registry.Registration;

/** The backend servers that take work, as a control host remembers them. */
record PersistedServers(List<Registration> servers) {
    PersistedServers {
        servers = servers == null ? List.of() : List.copyOf(servers);
    }
}
