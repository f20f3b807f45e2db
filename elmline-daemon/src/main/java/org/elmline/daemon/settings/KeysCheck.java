package org.elmline.daemon.settings;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** No key opens two doors: a backend server that could pass as an operator could change the configuration. */
final class KeysCheck implements CombinationCheck {
    @Override
    public void check(ObjectNode settings, Consumer<Problem> problems) {
        Map<String, String> pathsByKey = new HashMap<>();
        JsonNode keys = settings.path("keys");
        checkOne(keys.path("peerKey"), "/keys/peerKey", pathsByKey, problems);
        checkList(keys.path("operatorKeys"), "/keys/operatorKeys", pathsByKey, problems);
        checkList(keys.path("backendKeys"), "/keys/backendKeys", pathsByKey, problems);
    }

    private static void checkList(
            JsonNode keys, String path, Map<String, String> pathsByKey, Consumer<Problem> problems) {
        for (int i = 0; i < keys.size(); i++) {
            checkOne(keys.path(i), path + "/" + i, pathsByKey, problems);
        }
    }

    private static void checkOne(
            JsonNode key, String path, Map<String, String> pathsByKey, Consumer<Problem> problems) {
        if (!key.isTextual() || key.asText().equals(Secret.NOT_READ)) {
            return;
        }
        String earlier = pathsByKey.putIfAbsent(key.asText(), path);
        if (earlier != null) {
            problems.accept(new Problem(path, "the same key as " + earlier + "; each needs a key of its own"));
        }
    }
}
