package org.elmline.daemon.coordinator;

import java.util.List;

import org.elmline.core.registry.Registration;

/** The backend servers that accept work, as a control host persists them for its next start. */
record PersistedServers(List<Registration> servers) {
    PersistedServers {
        servers = servers == null ? List.of() : List.copyOf(servers);
    }
}
