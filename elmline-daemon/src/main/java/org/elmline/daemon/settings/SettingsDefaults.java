package org.elmline.daemon.settings;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Completes the settings of a file with the defaults of the builders, so that each default is defined in one place. */
final class SettingsDefaults {
    private SettingsDefaults() {}

    /** A copy of {@code given} on top of the role's defaults. */
    static ObjectNode complete(ObjectMapper mapper, ObjectNode given, ProcessRole role) {
        ObjectNode full = mapper.valueToTree(defaultSettings(role));
        removeNulls(full);
        merge(full, given);
        return full;
    }

    private static Settings defaultSettings(ProcessRole role) {
        return switch (role) {
            case ENTRY -> EntrySettings.builder().build();
            case CONTROL -> ControlSettings.builder().build();
            case STANDIN_ENGINE -> StandinEngineSettings.builder().build();
            case STANDIN_SERVICE -> StandinServiceSettings.builder().build();
            default -> throw new IllegalStateException("no defaults for " + role);
        };
    }

    private static void removeNulls(ObjectNode node) {
        node.properties().removeIf(field -> field.getValue().isNull());
    }

    private static void merge(ObjectNode target, ObjectNode given) {
        for (Map.Entry<String, JsonNode> field : given.properties()) {
            JsonNode current = target.get(field.getKey());
            if (current instanceof ObjectNode group && field.getValue() instanceof ObjectNode givenGroup) {
                merge(group, givenGroup);
            } else {
                target.set(field.getKey(), field.getValue().deepCopy());
            }
        }
    }
}
