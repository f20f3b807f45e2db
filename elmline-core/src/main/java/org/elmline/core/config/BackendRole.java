package org.elmline.core.config;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.ModelName;

/**
 * What one backend server is configured to serve. A backend server without such an object serves what it announces.
 *
 * @param version version of the weights that the engine must serve
 * @param adapters adapters that the engine must load
 * @param role use of the engine, in a word that the engines define; empty leaves the role unchanged
 * @param checksFencing whether operators have established that this server rejects old fencing numbers
 */
@JsonTypeName("backend-role")
public record BackendRole(
        BackendServerId server,
        ModelName model,
        String version,
        List<String> adapters,
        String role,
        boolean checksFencing)
        implements ConfigObject {
    public BackendRole {
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
        role = role == null ? "" : role;
        if (server == null || model == null || version == null) {
            throw new IllegalArgumentException("a backend role needs server, model and version");
        }
    }

    @Override
    public String key() {
        return "backend-role/" + server;
    }
}
