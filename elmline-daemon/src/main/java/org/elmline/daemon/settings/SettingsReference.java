package org.elmline.daemon.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Generates the reference of all settings in Markdown from the schema and the defaults, so that it can't become
 * outdated.
 */
public final class SettingsReference {
    private static final String DEFINITIONS = "#/$defs/";

    private final ObjectMapper mapper = new ObjectMapper();
    private final JsonNode definitions = new SettingsSchema(mapper).document().path("$defs");

    /** The complete reference, with one table for each role. */
    public String markdown() {
        StringBuilder text = new StringBuilder("# Settings\n\nWritten by `elmline settings reference`.\n");
        for (ProcessRole role : ProcessRole.values()) {
            JsonNode schema = definitions.path(role.settingValue());
            text.append("\n## ").append(role.settingValue()).append("\n\nSettings of ");
            text.append(schema.path("description").asText()).append(".\n\n");
            text.append("| path | values | default | meaning |\n|---|---|---|---|\n");
            JsonNode defaults = SettingsDefaults.complete(mapper, mapper.createObjectNode(), role);
            for (Row row : collectRows(schema, "")) {
                text.append(row.toMarkdown(defaults));
            }
        }
        return text.toString();
    }

    private List<Row> collectRows(JsonNode schema, String path) {
        List<Row> rows = new ArrayList<>();
        Set<String> required = new HashSet<>();
        schema.path("required").forEach(each -> required.add(each.asText()));
        for (Map.Entry<String, JsonNode> property : schema.path("properties").properties()) {
            JsonNode target = resolve(property.getValue());
            String childPath = path + "/" + property.getKey();
            if (isObject(target)) {
                rows.addAll(collectRows(target, childPath));
                continue;
            }
            String meaning = property.getValue().path("description").asText();
            String described = meaning.isEmpty() ? target.path("description").asText() : meaning;
            rows.add(new Row(childPath, describeValues(target), required.contains(property.getKey()), described));
            JsonNode items = resolve(target.path("items"));
            if (isObject(items)) {
                rows.addAll(collectRows(items, childPath + "/*"));
            }
        }
        return rows;
    }

    private JsonNode resolve(JsonNode schema) {
        String reference = schema.path("$ref").asText();
        return reference.isEmpty() ? schema : definitions.path(reference.substring(DEFINITIONS.length()));
    }

    private static boolean isObject(JsonNode schema) {
        return schema.path("type").asText().equals("object");
    }

    private static String describeValues(JsonNode schema) {
        if (schema.has("const")) {
            return "`" + schema.path("const").asText() + "`";
        }
        if (schema.has("enum")) {
            List<String> values = new ArrayList<>();
            schema.path("enum").forEach(each -> values.add("`" + each.asText() + "`"));
            return String.join(", ", values);
        }
        if (schema.has("minimum")) {
            return schema.path("type").asText() + ", " + schema.path("minimum").asText() + " to "
                    + schema.path("maximum").asText();
        }
        return schema.path("type").isArray()
                ? "string or file"
                : schema.path("type").asText();
    }

    private record Row(String path, String values, boolean required, String meaning) {
        String toMarkdown(JsonNode defaults) {
            JsonNode value = defaults.at(path);
            String text = value.isArray() ? value.toString() : value.asText();
            String defaultText = required ? "required" : value.isMissingNode() ? "" : "`" + text + "`";
            return "| `" + path + "` | " + values + " | " + defaultText + " | " + meaning + " |\n";
        }
    }
}
