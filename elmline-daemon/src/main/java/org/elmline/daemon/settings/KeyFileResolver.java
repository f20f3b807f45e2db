package org.elmline.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;

/**
 * Replaces each {@code {"file": path}} by the text of that key file. Paths are relative to the folder of the settings
 * file.
 */
final class KeyFileResolver {
    private static final String FILE_FIELD = "file";
    private static final int MIN_KEY_CHARS = 16;

    private final Path folder;
    private final KeyFileMode keyFileMode;

    KeyFileResolver(Path folder, KeyFileMode keyFileMode) {
        this.folder = folder;
        this.keyFileMode = keyFileMode;
    }

    void resolve(ObjectNode settings, Consumer<SettingsProblem> problems) {
        resolveField(settings, "backendKey", "/backendKey", problems);
        if (!(settings.get("keys") instanceof ObjectNode keys)) {
            return;
        }
        resolveField(keys, "peerKey", "/keys/peerKey", problems);
        resolveList(keys.get("operatorKeys"), "/keys/operatorKeys", problems);
        resolveList(keys.get("backendKeys"), "/keys/backendKeys", problems);
    }

    private void resolveField(ObjectNode parent, String field, String path, Consumer<SettingsProblem> problems) {
        JsonNode key = parent.get(field);
        if (isFileReference(key)) {
            parent.set(field, readKeyFile(key, path, problems));
        }
    }

    private void resolveList(JsonNode list, String path, Consumer<SettingsProblem> problems) {
        if (!(list instanceof ArrayNode keys)) {
            return;
        }
        for (int i = 0; i < keys.size(); i++) {
            if (isFileReference(keys.get(i))) {
                keys.set(i, readKeyFile(keys.get(i), path + "/" + i, problems));
            }
        }
    }

    private static boolean isFileReference(JsonNode key) {
        return key != null && key.path(FILE_FIELD).isTextual();
    }

    private JsonNode readKeyFile(JsonNode key, String path, Consumer<SettingsProblem> problems) {
        if (keyFileMode == KeyFileMode.SKIP) {
            return TextNode.valueOf(Secret.NOT_READ);
        }
        Path file = folder.resolve(key.path(FILE_FIELD).asText());
        try {
            String value = Files.readString(file).strip();
            if (value.length() < MIN_KEY_CHARS) {
                problems.accept(new SettingsProblem(path, "the key in " + file + " is shorter than 16 characters"));
            }
            return TextNode.valueOf(value);
        } catch (IOException e) {
            problems.accept(
                    new SettingsProblem(path, "the key file " + file + " cannot be read; it must hold the key alone"));
            return TextNode.valueOf(Secret.NOT_READ);
        }
    }
}
