package org.elmline.daemon.settings;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Checks that the control hosts are an odd number of different hosts and that a quorum remains after the loss of any
 * one failure domain. A single control host is allowed, for deployments on one machine; it tolerates no loss.
 */
final class ControlHostsCheck implements CrossFieldCheck {
    private static final String PATH = "/control";

    @Override
    public void check(ObjectNode settings, Consumer<SettingsProblem> problems) {
        JsonNode hosts = settings.path("control");
        if (!hosts.isArray() || hosts.isEmpty()) {
            return;
        }
        checkHostsDiffer(hosts, problems);
        if (hosts.size() % 2 == 0) {
            problems.accept(new SettingsProblem(
                    PATH,
                    hosts.size() + " control hosts survive no more losses than " + (hosts.size() - 1)
                            + "; name an odd number"));
        }
        if (hosts.size() > 1) {
            checkFailureDomains(hosts, problems);
        }
    }

    private static void checkHostsDiffer(JsonNode hosts, Consumer<SettingsProblem> problems) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < hosts.size(); i++) {
            String host = hosts.path(i).path("host").asText();
            if (!seen.add(host)) {
                problems.accept(
                        new SettingsProblem(PATH + "/" + i + "/host", host + " is named twice; each host votes once"));
            }
        }
    }

    private static void checkFailureDomains(JsonNode hosts, Consumer<SettingsProblem> problems) {
        Map<String, Integer> hostsByDomain = new HashMap<>();
        for (JsonNode host : hosts) {
            if (!host.path("failureDomain").isTextual()) {
                return;
            }
            hostsByDomain.merge(host.path("failureDomain").asText(), 1, Integer::sum);
        }
        int quorum = hosts.size() / 2 + 1;
        for (Map.Entry<String, Integer> domain : hostsByDomain.entrySet()) {
            if (hosts.size() - domain.getValue() < quorum) {
                problems.accept(new SettingsProblem(
                        PATH,
                        "losing failure domain " + domain.getKey() + " would leave "
                                + (hosts.size() - domain.getValue()) + " of " + hosts.size()
                                + " control hosts, fewer than the quorum of " + quorum
                                + "; spread them over at least 3 failure domains"));
            }
        }
    }
}
