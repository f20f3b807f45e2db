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

/** Reads the settings of one process and names all problems at once. Opens nothing but the file and its key files. */
public final class SettingsReader {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private final SettingsSchema schema = new SettingsSchema(MAPPER);
    private final CombinationChecks combinations = new CombinationChecks();
    private final KeyFiles keyFiles;

    public SettingsReader(KeyFiles keyFiles) {
        this.keyFiles = keyFiles;
    }

    /** Reads a file; paths in it are relative to its folder. */
    public SettingsResult read(Path file) {
        try {
            return read(Files.readString(file), file.toAbsolutePath().getParent());
        } catch (IOException e) {
            return invalid(new Problem("", "cannot be read: " + e));
        }
    }

    /** Reads the text of a settings file; paths in it are relative to {@code folder}. */
    public SettingsResult read(String json, Path folder) {
        JsonNode parsed;
        try {
            parsed = MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            return invalid(new Problem("", "not JSON: " + JsonProblems.describe(e)));
        }
        if (!(parsed instanceof ObjectNode given)) {
            return invalid(new Problem("", "must be one JSON object"));
        }
        Optional<Role> role = Role.of(given.path("role").asText());
        if (role.isEmpty()) {
            return invalid(new Problem("/role", "must be one of " + roleWords()));
        }
        return check(given, role.get(), folder);
    }

    private SettingsResult check(ObjectNode given, Role role, Path folder) {
        List<Problem> problems = new ArrayList<>(schema.check(given, role));
        ObjectNode full = Defaults.complete(MAPPER, given, role);
        new KeyResolver(folder, keyFiles).resolve(full, problems::add);
        combinations.check(full, problems::add);
        if (!problems.isEmpty()) {
            problems.sort(Comparator.comparing(Problem::path).thenComparing(Problem::message));
            return new SettingsResult.Invalid(problems.stream().distinct().toList());
        }
        return bind(full, role, folder);
    }

    private static SettingsResult bind(ObjectNode full, Role role, Path folder) {
        full.remove("role");
        try {
            Settings settings = MAPPER.treeToValue(full, role.type());
            return new SettingsResult.Valid(inFolder(settings, folder));
        } catch (JsonProcessingException e) {
            return invalid(new Problem(JsonProblems.path(e), JsonProblems.describe(e)));
        }
    }

    private static Settings inFolder(Settings settings, Path folder) {
        if (settings instanceof ControlSettings control) {
            return control.toBuilder()
                    .dataFolder(folder.resolve(control.dataFolder()).normalize())
                    .build();
        }
        return settings;
    }

    private static SettingsResult invalid(Problem problem) {
        return new SettingsResult.Invalid(List.of(problem));
    }

    private static String roleWords() {
        List<String> words = new ArrayList<>();
        for (Role role : Role.values()) {
            words.add(role.word());
        }
        return String.join(", ", words);
    }
}
