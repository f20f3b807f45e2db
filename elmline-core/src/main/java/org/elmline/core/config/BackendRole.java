package org.elmline.core.config;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.ModelName;

/**
 * What one backend server is wanted to serve. Without one, a backend server serves what it announces.
 *
 * @param role word for what the engine is used for, which engines know; empty to leave it as it is
 * @param checksFencing whether operators know this server to refuse old fencing numbers
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
