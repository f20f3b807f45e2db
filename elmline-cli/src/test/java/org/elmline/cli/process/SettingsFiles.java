package org.elmline.cli.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Writes the settings files of a small deployment on loopback. */
final class SettingsFiles {
    static final String PEER_KEY = "peer-key-of-process-tests";
    static final String OPERATOR_KEY = "operator-key-of-process-tests";
    static final String BACKEND_KEY = "backend-key-of-process-tests";

    private final Path folder;

    SettingsFiles(Path folder) {
        this.folder = folder;
    }

    /** Settings of one control host in a cluster; {@code ownPort} is its port for peers. */
    Path control(String host, String domain, List<ControlHostSettings> controlHosts, int ownPort) throws IOException {
        return write(
                "control-" + host,
                """
                {"role":"control","host":"%s","region":"local","failureDomain":"%s","dataFolder":"data-%s",
                 "addresses":{"operators":"127.0.0.1:0","peers":"127.0.0.1:%d"},
                 "control":%s,
                 "keys":{"peerKey":"%s","operatorKeys":["%s"]}}
                """
                        .formatted(host, domain, host, ownPort, json(controlHosts), PEER_KEY, OPERATOR_KEY));
    }

    Path entry(String host, String domain, List<ControlHostSettings> controlHosts) throws IOException {
        return write(
                "entry-" + host,
                """
                {"role":"entry","host":"%s","region":"local","failureDomain":"%s",
                 "addresses":{"callers":"127.0.0.1:0","operators":"127.0.0.1:0","peers":"127.0.0.1:0"},
                 "control":%s,
                 "callers":{"keepSeconds":2},
                 "keys":{"peerKey":"%s","operatorKeys":["%s"],"backendKeys":["%s"]}}
                """
                        .formatted(host, domain, json(controlHosts), PEER_KEY, OPERATOR_KEY, BACKEND_KEY));
    }

    Path engine(String id, String domain, List<String> entries, String model) throws IOException {
        return write(
                "engine-" + id,
                """
                {"role":"standin-engine","id":"%s","region":"local","failureDomain":"%s",
                 "address":"127.0.0.1:0","entries":%s,"backendKey":"%s","model":"%s","version":"1"}
                """
                        .formatted(id, domain, quoted(entries), BACKEND_KEY, model));
    }

    Path service(String id, String domain, List<String> entries, String service) throws IOException {
        return write(
                "service-" + id,
                """
                {"role":"standin-service","id":"%s","region":"local","failureDomain":"%s",
                 "address":"127.0.0.1:0","entries":%s,"backendKey":"%s","service":"%s"}
                """
                        .formatted(id, domain, quoted(entries), BACKEND_KEY, service));
    }

    /** One control host as the settings list it. */
    record ControlHostSettings(String host, String peers, String domain) {}

    private static String json(List<ControlHostSettings> controlHosts) {
        StringBuilder text = new StringBuilder("[");
        for (ControlHostSettings each : controlHosts) {
            text.append(text.length() == 1 ? "" : ",")
                    .append("{\"host\":\"%s\",\"peers\":\"%s\",\"failureDomain\":\"%s\"}"
                            .formatted(each.host(), each.peers(), each.domain()));
        }
        return text.append("]").toString();
    }

    private static String quoted(List<String> values) {
        return "[\"" + String.join("\",\"", values) + "\"]";
    }

    private Path write(String name, String json) throws IOException {
        return Files.writeString(folder.resolve(name + ".json"), json);
    }
}
