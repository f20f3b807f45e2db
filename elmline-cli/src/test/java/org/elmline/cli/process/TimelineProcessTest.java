package org.elmline.cli.process;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.elmline.cli.Main;
import org.elmline.core.common.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** The time line over a control host and two entries as separate processes. */
class TimelineProcessTest {
    @TempDir
    Path folder;

    private final Closer closer = new Closer();

    @AfterEach
    void stop() {
        closer.close();
    }

    /**
     * A ticket is sent to one entry, and again to the other as after a lost answer; then one with a lower number on the
     * same objects. The time line must show each decision once, an acceptance before any host follows it, and the
     * ticket in force only after every host follows it.
     */
    @Test
    void showsTicketAcceptedThenFollowedThenInForce() throws Exception {
        SettingsFiles files = new SettingsFiles(folder);
        int port = freePort();
        List<SettingsFiles.ControlHostSettings> controlHosts =
                List.of(new SettingsFiles.ControlHostSettings("c1", "127.0.0.1:" + port, "d1"));
        String settings = files.control("c1", "d1", controlHosts, port).toString();
        assertEquals(0, ElmlineProcess.run(folder, "control", "bootstrap", "--settings", settings));
        ElmlineProcess control = start("c1", "control", "run", "--settings", settings);
        ElmlineProcess a = start(
                "a", "entry", "--settings", files.entry("a", "d1", controlHosts).toString());
        ElmlineProcess b = start(
                "b", "entry", "--settings", files.entry("b", "d2", controlHosts).toString());

        Client operator = new Client(SettingsFiles.OPERATOR_KEY);
        Client.await(
                "both entries known",
                () -> operator.get(a.ready("operator") + "/v1/status")
                                .json()
                                .path("entryHosts")
                                .size()
                        == 2);
        String ticket = RequestBodies.firstTicket("caller-key-of-process-tests");
        assertEquals(
                200, operator.put(a.ready("operator") + "/v1/tickets/5", ticket).status());
        assertEquals(
                200, operator.put(b.ready("operator") + "/v1/tickets/5", ticket).status());
        assertEquals(
                409, operator.put(b.ready("operator") + "/v1/tickets/4", ticket).status());

        String hosts = a.ready("operator") + "," + control.ready("operator");
        Client.await("ticket 5 in force", () -> events(hosts, "5").contains("InForce"));
        assertEquals(List.of("Accepted", "Followed", "Followed", "InForce"), events(hosts, "5"));
        assertEquals(List.of("Refused"), events(hosts, "4"));
    }

    /**
     * An engine joins and is stopped gracefully; a service joins and is killed at once. The time line must show that
     * the engine left and that the service was lost, since only the latter needs an operator's attention.
     */
    @Test
    void distinguishesLeavingFromLostBackendServers() throws Exception {
        SettingsFiles files = new SettingsFiles(folder);
        int port = freePort();
        List<SettingsFiles.ControlHostSettings> controlHosts =
                List.of(new SettingsFiles.ControlHostSettings("c1", "127.0.0.1:" + port, "d1"));
        String settings = files.control("c1", "d1", controlHosts, port).toString();
        assertEquals(0, ElmlineProcess.run(folder, "control", "bootstrap", "--settings", settings));
        start("c1", "control", "run", "--settings", settings);
        ElmlineProcess a = start(
                "a", "entry", "--settings", files.entry("a", "d1", controlHosts).toString());
        List<String> entries = List.of(a.address("caller"));
        String engineSettings = files.engine("g1", "d1", entries, "elm-small").toString();
        ElmlineProcess engine = start("g1", "standin", "engine", "--settings", engineSettings);
        String serviceSettings = files.service("s1", "d1", entries, "booking").toString();
        ElmlineProcess service = start("s1", "standin", "service", "--settings", serviceSettings);

        String host = a.ready("operator");
        Client.await("engine joined", () -> backendEvents(host, "g1").equals(List.of("Joined")));
        Client.await("service joined", () -> backendEvents(host, "s1").equals(List.of("Joined")));
        engine.terminate();
        service.kill();
        Client.await("engine leaving", () -> backendEvents(host, "g1").equals(List.of("Joined", "Leaving")));
        Client.await("service lost", () -> backendEvents(host, "s1").equals(List.of("Joined", "Lost")));
    }

    private static List<String> backendEvents(String host, String server) {
        return kinds(timeline(host).filter(line -> line.contains("[server=" + server)));
    }

    /** The kinds of a ticket's events, in the order shown. */
    private static List<String> events(String hosts, String ticket) {
        return kinds(timeline(hosts, "--ticket", ticket));
    }

    private static Stream<String> timeline(String hosts, String... options) {
        StringWriter out = new StringWriter();
        CommandLine command = Main.commandLine().setOut(new PrintWriter(out, true));
        List<String> line = new ArrayList<>();
        line.addAll(List.of("timeline", "--key", SettingsFiles.OPERATOR_KEY, "--operator", hosts));
        line.addAll(List.of(options));
        command.execute(line.toArray(String[]::new));
        return out.toString().lines();
    }

    private static List<String> kinds(Stream<String> lines) {
        return lines.map(line -> line.split(" {2}")[3])
                .map(event -> event.substring(0, event.indexOf('[')))
                .toList();
    }

    private ElmlineProcess start(String name, String... arguments) throws Exception {
        return closer.register(ElmlineProcess.start(folder, name, arguments));
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
