package org.elmline.daemon.settings;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Checks that no key gives access in two roles: a backend server whose key is also an operator key could change the
 * configuration.
 */
final class DistinctKeysCheck implements CrossFieldCheck {
    @Override
    public void check(ObjectNode settings, Consumer<SettingsProblem> problems) {
        Map<String, String> pathsByKey = new HashMap<>();
        JsonNode keys = settings.path("keys");
        checkKey(keys.path("peerKey"), "/keys/peerKey", pathsByKey, problems);
        checkKeys(keys.path("operatorKeys"), "/keys/operatorKeys", pathsByKey, problems);
        checkKeys(keys.path("backendKeys"), "/keys/backendKeys", pathsByKey, problems);
    }

    private static void checkKeys(
            JsonNode keys, String path, Map<String, String> pathsByKey, Consumer<SettingsProblem> problems) {
        for (int i = 0; i < keys.size(); i++) {
            checkKey(keys.path(i), path + "/" + i, pathsByKey, problems);
        }
    }

    private static void checkKey(
            JsonNode key, String path, Map<String, String> pathsByKey, Consumer<SettingsProblem> problems) {
        if (!key.isTextual() || key.asText().equals(Secret.NOT_READ)) {
            return;
        }
        String earlier = pathsByKey.putIfAbsent(key.asText(), path);
        if (earlier != null) {
            problems.accept(new SettingsProblem(path, "the same key as " + earlier + "; each needs a key of its own"));
        }
    }
}
