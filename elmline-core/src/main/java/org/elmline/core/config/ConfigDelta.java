package org.elmline.core.config;

import java.util.List;

import org.elmline.core.common.ConfigVersion;

/** The objects that changed after {@code from}, up to and including {@code to}. */
public record ConfigDelta(ConfigVersion from, ConfigVersion to, List<VersionedObject> changed) {
    public ConfigDelta {
        changed = List.copyOf(changed);
    }
}
