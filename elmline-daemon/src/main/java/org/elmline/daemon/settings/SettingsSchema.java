package org.elmline.daemon.settings;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaLocation;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import com.networknt.schema.path.NodePath;

/** The JSON Schema (draft 2020-12) of the settings; converts validation errors to settings problems. */
final class SettingsSchema {
    private static final String RESOURCE = "settings.schema.json";
    private static final String ID = "https://elmline.org/" + RESOURCE;

    private final JsonNode document;
    private final Map<ProcessRole, Schema> schemas = new EnumMap<>(ProcessRole.class);

    SettingsSchema(ObjectMapper mapper) {
        try (InputStream in = SettingsSchema.class.getResourceAsStream(RESOURCE)) {
            document = mapper.readTree(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        SchemaRegistry registry = SchemaRegistry.withDefaultDialect(
                SpecificationVersion.DRAFT_2020_12, builder -> builder.schemas(Map.of(ID, document.toString())));
        for (ProcessRole role : ProcessRole.values()) {
            schemas.put(role, registry.getSchema(SchemaLocation.of(ID + "#/$defs/" + role.settingValue())));
        }
    }

    JsonNode document() {
        return document;
    }

    List<SettingsProblem> check(JsonNode settings, ProcessRole role) {
        List<SettingsProblem> problems = new ArrayList<>();
        for (Error error : schemas.get(role).validate(settings)) {
            problems.add(toProblem(error));
        }
        return problems;
    }

    private SettingsProblem toProblem(Error error) {
        String path = pointer(error.getInstanceLocation());
        return switch (error.getKeyword()) {
            case "additionalProperties" -> new SettingsProblem(
                    path + "/" + error.getProperty(), UnknownKeyHint.describe(error.getProperty(), allowedKeys(error)));
            case "required" -> new SettingsProblem(path + "/" + error.getProperty(), "missing, but this role needs it");
            case "pattern" -> new SettingsProblem(
                    path, error.getInstanceNode() + " does not fit: " + description(error));
            case "type" -> new SettingsProblem(path, error.getMessage() + descriptionSuffix(error));
            default -> new SettingsProblem(path, error.getMessage() + descriptionSuffix(error));
        };
    }

    private String descriptionSuffix(Error error) {
        String description = description(error);
        return description.isEmpty() ? "" : "; it is " + description;
    }

    private String description(Error error) {
        return owningSchema(error).path("description").asText();
    }

    private Set<String> allowedKeys(Error error) {
        Set<String> keys = new LinkedHashSet<>();
        owningSchema(error).path("properties").fieldNames().forEachRemaining(keys::add);
        return keys;
    }

    /** The schema object that contains the keyword of a validation error. */
    private JsonNode owningSchema(Error error) {
        NodePath keyword = error.getSchemaLocation().getFragment();
        return document.at(pointer(keyword.getParent()));
    }

    private static String pointer(NodePath path) {
        StringBuilder pointer = new StringBuilder();
        for (int i = 0; i < path.getNameCount(); i++) {
            pointer.append('/').append(path.getName(i).replace("~", "~0").replace("/", "~1"));
        }
        return pointer.toString();
    }
}
