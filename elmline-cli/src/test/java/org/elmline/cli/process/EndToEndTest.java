package org.elmline.cli.process;

import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.elmline.core.common.Closer;
import org.elmline.core.common.ModelName;
import org.elmline.standin.AnswerText;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * End to end over separate processes: one control host, two entries, an engine and a service. A ticket creates model
 * and organisation; a caller requests the entry addresses, streams an answer and must get exactly that answer.
 */
class EndToEndTest {
    private static final String CALLER_KEY = "caller-key-of-process-tests";
    private static final String PROMPT = "how many dogs are free at ten";

    @TempDir
    Path folder;

    private final Closer closer = new Closer();

    @AfterEach
    void stop() {
        closer.close();
    }

    @Test
    void callerReceivesExactStreamedAnswer() throws Exception {
        SettingsFiles files = new SettingsFiles(folder);
        int port = freePort();
        List<SettingsFiles.ControlHostSettings> controlHosts =
                List.of(new SettingsFiles.ControlHostSettings("c1", "127.0.0.1:" + port, "d1"));
        String control = files.control("c1", "d1", controlHosts, port).toString();
        assertEquals(0, ElmlineProcess.run(folder, "control", "bootstrap", "--settings", control));
        start("c1", "control", "run", "--settings", control);
        ElmlineProcess a = start(
                "a", "entry", "--settings", files.entry("a", "d1", controlHosts).toString());
        ElmlineProcess b = start(
                "b", "entry", "--settings", files.entry("b", "d2", controlHosts).toString());
        List<String> entries = List.of(a.address("caller"), b.address("caller"));
        start(
                "e1",
                "standin",
                "engine",
                "--settings",
                files.engine("e1", "d1", entries, "elm-small").toString());
        start(
                "s1",
                "standin",
                "service",
                "--settings",
                files.service("s1", "d2", entries, "booking").toString());

        Client operator = new Client(SettingsFiles.OPERATOR_KEY);
        Client.Reply ticket =
                operator.put(a.ready("operator") + "/v1/tickets/1", RequestBodies.firstTicket(CALLER_KEY));
        assertEquals(200, ticket.status(), ticket.body());
        Client.await("ticket 1 in force", () -> operator.get(b.ready("operator") + "/v1/tickets/1")
                .json()
                .path("inForce")
                .asBoolean());

        Client caller = new Client(CALLER_KEY);
        JsonNode hosts = caller.get(a.ready("caller") + "/v1/entry-hosts").json();
        assertEquals(2, hosts.path("addresses").size(), hosts.toString());
        assertTrue(hosts.path("keepSeconds").asInt() > 0);
        String answer = AnswerText.of(ModelName.of("elm-small"), "", PROMPT, 64).text();
        for (JsonNode address : hosts.path("addresses")) {
            String url = "http://" + address.asText() + "/v1/completions";
            Client.await(
                    "a first answer at " + url,
                    () -> caller.post(url, RequestBodies.completion(PROMPT, false))
                                    .status()
                            == 200);
            Client.Reply whole = caller.post(url, RequestBodies.completion(PROMPT, false));
            assertEquals(
                    answer, whole.json().path("choices").path(0).path("text").asText());
            Client.Stream stream = caller.stream(url, RequestBodies.completion(PROMPT, true));
            assertEquals(answer, stream.text());
            assertTrue(stream.done(), "the end mark is missing");
        }
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
