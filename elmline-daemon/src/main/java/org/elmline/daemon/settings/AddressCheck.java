package org.elmline.daemon.settings;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Checks that each address is used once and that its octets and ports are in range. */
final class AddressCheck implements CrossFieldCheck {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_OCTET = 255;
    private static final Pattern DOTTED_QUAD = Pattern.compile("[0-9]+(\\.[0-9]+){3}");

    @Override
    public void check(ObjectNode settings, Consumer<SettingsProblem> problems) {
        Map<String, String> pathsByAddress = new HashMap<>();
        for (Map.Entry<String, JsonNode> each : settings.path("addresses").properties()) {
            checkAddress(each.getValue(), "/addresses/" + each.getKey(), true, pathsByAddress, problems);
        }
        checkAddress(settings.path("address"), "/address", true, pathsByAddress, problems);
        Map<String, String> controlPaths = new HashMap<>();
        JsonNode control = settings.path("control");
        for (int i = 0; i < control.size(); i++) {
            checkAddress(control.path(i).path("peers"), "/control/" + i + "/peers", false, controlPaths, problems);
        }
        Map<String, String> entryPaths = new HashMap<>();
        JsonNode entries = settings.path("entries");
        for (int i = 0; i < entries.size(); i++) {
            checkAddress(entries.path(i), "/entries/" + i, false, entryPaths, problems);
        }
    }

    private static void checkAddress(
            JsonNode node,
            String path,
            boolean isListenAddress,
            Map<String, String> seen,
            Consumer<SettingsProblem> problems) {
        int colon = node.asText().lastIndexOf(':');
        if (!node.isTextual() || colon < 1) {
            return;
        }
        int port = parseNumber(node.asText().substring(colon + 1));
        if (port > MAX_PORT || !octetsInRange(node.asText().substring(0, colon))) {
            problems.accept(
                    new SettingsProblem(path, node.asText() + " is out of range: octets go to 255, ports to 65535"));
            return;
        }
        if (port == 0 && isListenAddress) {
            return;
        }
        if (port == 0) {
            problems.accept(
                    new SettingsProblem(path, "port 0 can't be connected to; give the port that the host listens on"));
            return;
        }
        String earlier = seen.putIfAbsent(node.asText(), path);
        if (earlier != null) {
            problems.accept(new SettingsProblem(
                    path, node.asText() + " is also used by " + earlier + "; each address may be used once"));
        }
    }

    private static int parseNumber(String digits) {
        try {
            return Integer.parseInt(digits);
        } catch (NumberFormatException e) {
            return MAX_PORT + 1;
        }
    }

    private static boolean octetsInRange(String ip) {
        if (!DOTTED_QUAD.matcher(ip).matches()) {
            return true; // the schema reports any other form
        }
        for (String octet : ip.split("\\.", -1)) {
            if (parseNumber(octet) > MAX_OCTET) {
                return false;
            }
        }
        return true;
    }
}
