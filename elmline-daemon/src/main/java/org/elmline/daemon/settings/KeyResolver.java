package org.elmline.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;

/** Puts the text of a key file in place of each {@code {"file": path}}. */
final class KeyResolver {
    private static final String FILE = "file";
    private static final int MIN_LENGTH = 16;

    private final Path folder;
    private final KeyFiles keyFiles;

    KeyResolver(Path folder, KeyFiles keyFiles) {
        this.folder = folder;
        this.keyFiles = keyFiles;
    }

    void resolve(ObjectNode settings, Consumer<Problem> problems) {
        resolveField(settings, "backendKey", "/backendKey", problems);
        if (!(settings.get("keys") instanceof ObjectNode keys)) {
            return;
        }
        resolveField(keys, "peerKey", "/keys/peerKey", problems);
        resolveList(keys.get("operatorKeys"), "/keys/operatorKeys", problems);
        resolveList(keys.get("backendKeys"), "/keys/backendKeys", problems);
    }

    private void resolveField(ObjectNode owner, String field, String path, Consumer<Problem> problems) {
        JsonNode key = owner.get(field);
        if (isFile(key)) {
            owner.set(field, read(key, path, problems));
        }
    }

    private void resolveList(JsonNode list, String path, Consumer<Problem> problems) {
        if (!(list instanceof ArrayNode keys)) {
            return;
        }
        for (int i = 0; i < keys.size(); i++) {
            if (isFile(keys.get(i))) {
                keys.set(i, read(keys.get(i), path + "/" + i, problems));
            }
        }
    }

    private static boolean isFile(JsonNode key) {
        return key != null && key.path(FILE).isTextual();
    }

    private JsonNode read(JsonNode key, String path, Consumer<Problem> problems) {
        if (keyFiles == KeyFiles.SKIP) {
            return TextNode.valueOf(Secret.NOT_READ);
        }
        Path file = folder.resolve(key.path(FILE).asText());
        try {
            String value = Files.readString(file).strip();
            if (value.length() < MIN_LENGTH) {
                problems.accept(new Problem(path, "the key in " + file + " is shorter than 16 characters"));
            }
            return TextNode.valueOf(value);
        } catch (IOException e) {
            problems.accept(new Problem(path, "the key file " + file + " cannot be read; it must hold the key alone"));
            return TextNode.valueOf(Secret.NOT_READ);
        }
    }
}
