package org.elmline.daemon.settings;

import java.util.Optional;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Checks that a control host in the list of initial control hosts has the same address and failure domain there as in
 * its own settings. A control host that is not in the list joins later, as a replacement.
 */
final class OwnControlHostCheck implements CrossFieldCheck {
    @Override
    public void check(ObjectNode settings, Consumer<SettingsProblem> problems) {
        if (!settings.path("role").asText().equals(ProcessRole.CONTROL.settingValue())) {
            return;
        }
        JsonNode hosts = settings.path("control");
        for (int i = 0; i < hosts.size(); i++) {
            if (hosts.path(i).path("host").asText().equals(settings.path("host").asText())) {
                findMismatch(hosts.path(i), "/control/" + i, settings).ifPresent(problems);
            }
        }
    }

    private static Optional<SettingsProblem> findMismatch(JsonNode listed, String path, ObjectNode settings) {
        String domain = settings.path("failureDomain").asText();
        if (!listed.path("failureDomain").asText().equals(domain)) {
            return Optional.of(new SettingsProblem(
                    path + "/failureDomain", "must be " + domain + " as in /failureDomain: this is the same host"));
        }
        String peers = settings.at("/addresses/peers").asText();
        if (!peers.endsWith(":0") && !listed.path("peers").asText().equals(peers)) {
            return Optional.of(new SettingsProblem(
                    path + "/peers", "must be " + peers + " as in /addresses/peers: this is the same host"));
        }
        return Optional.empty();
    }
}
