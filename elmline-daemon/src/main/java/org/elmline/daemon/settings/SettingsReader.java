package org.elmline.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reads the settings of one process and reports all problems together. Opens no files but the settings file and its key
 * files.
 */
public final class SettingsReader {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private final SettingsSchema schema = new SettingsSchema(MAPPER);
    private final CrossFieldChecks crossFieldChecks = new CrossFieldChecks();
    private final KeyFileMode keyFileMode;

    public SettingsReader(KeyFileMode keyFileMode) {
        this.keyFileMode = keyFileMode;
    }

    /** Reads a settings file; paths in it are relative to its folder. */
    public SettingsResult read(Path file) {
        try {
            return read(Files.readString(file), file.toAbsolutePath().getParent());
        } catch (IOException e) {
            return invalid(new SettingsProblem("", "cannot be read: " + e));
        }
    }

    /** Reads the text of a settings file; paths in it are relative to {@code folder}. */
    public SettingsResult read(String json, Path folder) {
        JsonNode parsed;
        try {
            parsed = MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            return invalid(new SettingsProblem("", "not JSON: " + JsonErrorText.describe(e)));
        }
        if (!(parsed instanceof ObjectNode given)) {
            return invalid(new SettingsProblem("", "must be one JSON object"));
        }
        Optional<ProcessRole> role = ProcessRole.of(given.path("role").asText());
        if (role.isEmpty()) {
            return invalid(new SettingsProblem("/role", "must be one of " + roleNames()));
        }
        return check(given, role.get(), folder);
    }

    private SettingsResult check(ObjectNode given, ProcessRole role, Path folder) {
        List<SettingsProblem> problems = new ArrayList<>(schema.check(given, role));
        ObjectNode full = SettingsDefaults.complete(MAPPER, given, role);
        new KeyFileResolver(folder, keyFileMode).resolve(full, problems::add);
        crossFieldChecks.check(full, problems::add);
        if (!problems.isEmpty()) {
            problems.sort(Comparator.comparing(SettingsProblem::path).thenComparing(SettingsProblem::message));
            return new SettingsResult.Invalid(problems.stream().distinct().toList());
        }
        return toSettings(full, role, folder);
    }

    private static SettingsResult toSettings(ObjectNode full, ProcessRole role, Path folder) {
        full.remove("role");
        try {
            Settings settings = MAPPER.treeToValue(full, role.settingsType());
            return new SettingsResult.Valid(resolvePaths(settings, folder));
        } catch (JsonProcessingException e) {
            return invalid(new SettingsProblem(JsonErrorText.path(e), JsonErrorText.describe(e)));
        }
    }

    private static Settings resolvePaths(Settings settings, Path folder) {
        if (settings instanceof ControlSettings control) {
            return control.toBuilder()
                    .dataFolder(folder.resolve(control.dataFolder()).normalize())
                    .build();
        }
        return settings;
    }

    private static SettingsResult invalid(SettingsProblem problem) {
        return new SettingsResult.Invalid(List.of(problem));
    }

    private static String roleNames() {
        List<String> names = new ArrayList<>();
        for (ProcessRole role : ProcessRole.values()) {
            names.add(role.settingValue());
        }
        return String.join(", ", names);
    }
}
