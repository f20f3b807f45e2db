package org.elmline.cli.local;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.elmline.cli.process.Client;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Invalid calls of callers and operators: each gets its status, an error type and "did not run"; no request stays open.
 */
class BadInputTest {
    private static final String COMPLETIONS = "/v1/completions";
    private static final String CHAT = "/v1/chat/completions";

    private static LocalDeployment deployment;

    /** One invalid call of a caller and the expected answer. */
    record Case(String method, String path, String body, int status, String type) {}

    private static final List<Case> CASES = List.of(
            new Case("POST", COMPLETIONS, "", 400, "invalid_request"),
            new Case("POST", COMPLETIONS, "not json", 400, "invalid_request"),
            new Case("POST", COMPLETIONS, "[]", 400, "invalid_request"),
            new Case("POST", COMPLETIONS, "{\"model\":\"elm-small\"", 400, "invalid_request"),
            new Case("POST", COMPLETIONS, "{\"model\":7,\"prompt\":\"x\"}", 400, "invalid_request"),
            new Case("POST", COMPLETIONS, "{\"prompt\":\"x\"}", 400, "invalid_request"),
            new Case("POST", COMPLETIONS, "{\"model\":\"elm-small\"}", 400, "invalid_request"),
            new Case("POST", COMPLETIONS, "{\"model\":\"elm-small\",\"prompt\":7}", 400, "invalid_request"),
            new Case("POST", COMPLETIONS, "{\"model\":\"elm-small\",\"prompt\":[]}", 400, "invalid_request"),
            new Case("POST", COMPLETIONS, body("\"max_tokens\":0"), 400, "invalid_request"),
            new Case("POST", COMPLETIONS, body("\"max_tokens\":-1"), 400, "invalid_request"),
            new Case("POST", COMPLETIONS, body("\"max_tokens\":1.5"), 400, "invalid_request"),
            new Case("POST", COMPLETIONS, body("\"max_tokens\":\"9\""), 400, "invalid_request"),
            new Case("POST", COMPLETIONS, body("\"max_tokens\":99999999"), 400, "invalid_request"),
            new Case("POST", COMPLETIONS, body("\"n\":2"), 400, "invalid_request"),
            new Case("POST", COMPLETIONS, body("\"stream\":\"yes\""), 400, "invalid_request"),
            new Case("POST", COMPLETIONS, "{\"model\":\"no such model\",\"prompt\":\"x\"}", 400, "invalid_request"),
            new Case("POST", COMPLETIONS, "{\"model\":\"unknown\",\"prompt\":\"x\"}", 404, "model_not_found"),
            new Case("POST", COMPLETIONS, "{\"model\":\"elm-small@none\",\"prompt\":\"x\"}", 404, "model_not_found"),
            new Case("POST", CHAT, "{\"model\":\"elm-small\",\"messages\":[]}", 400, "invalid_request"),
            new Case("POST", CHAT, "{\"model\":\"elm-small\",\"messages\":[{}]}", 400, "invalid_request"),
            new Case(
                    "POST",
                    CHAT,
                    "{\"model\":\"elm-small\",\"messages\":[{\"role\":\"user\"}]}",
                    400,
                    "invalid_request"),
            new Case("GET", COMPLETIONS, null, 405, "method_not_allowed"),
            new Case("GET", "/v1/nothing", null, 404, "not_found"),
            new Case("GET", "/v1/services/unknown/x", null, 404, "service_not_found"),
            new Case("POST", "/v1/services/booking/fees", "{}", 400, "invalid_request"));

    @BeforeAll
    static void start() throws Exception {
        deployment = LocalDeployment.builder().start();
        Client.await(
                "an answer",
                () -> caller().post(url(COMPLETIONS), body("\"max_tokens\":1")).status() == 200);
    }

    @AfterAll
    static void stop() {
        deployment.close();
    }

    @Test
    void rejectsEachInvalidCallWithItsError() throws Exception {
        int matching = 0;
        for (Case each : CASES) {
            Client.Reply reply = caller().send(request(each));
            assertEquals(each.status(), reply.status(), each + " " + reply.body());
            assertEquals(each.type(), reply.json().path("error").path("type").asText(), each.toString());
            assertEquals("no", reply.json().path("error").path("ran").asText(), each.toString());
            matching++;
        }
        assertEquals(26, matching);
        assertNoRequestOpen();
    }

    @Test
    void rejectsWrongKeys() throws Exception {
        int refused = 0;
        for (String key : List.of("", "wrong", deployment.operatorKey(), deployment.backendKey())) {
            Client.Reply reply = new Client(key).post(url(COMPLETIONS), body("\"max_tokens\":1"));
            assertEquals(401, reply.status(), reply.body());
            refused++;
        }
        for (String key : List.of("", deployment.callerKey(), deployment.backendKey())) {
            assertEquals(401, new Client(key).get(operators() + "/v1/status").status());
            refused++;
        }
        for (String key : List.of("", deployment.callerKey(), deployment.operatorKey())) {
            assertEquals(
                    401,
                    new Client(key)
                            .post(url("/v1/backend-servers/announce"), "{}")
                            .status());
            refused++;
        }
        assertEquals(10, refused);
    }

    @Test
    void rejectsInvalidTimeouts() throws Exception {
        int refused = 0;
        for (String limit : List.of("0", "-5", "soon", "99999999999999999999")) {
            Request.Builder request = request(new Case("POST", COMPLETIONS, body("\"max_tokens\":1"), 400, ""));
            assertEquals(
                    400,
                    caller().send(request.header("Elmline-Timeout-Ms", limit)).status(),
                    limit);
            refused++;
        }
        assertEquals(4, refused);
    }

    @Test
    void rejectsInvalidTickets() throws Exception {
        Client operator = new Client(deployment.operatorKey());
        List<String> bodies = List.of(
                "",
                "{}",
                "{\"author\":\"a\",\"objects\":[]}",
                "{\"author\":\"a\",\"objects\":[{\"kind\":\"unknown\"}]}",
                "{\"author\":\"a\",\"objekts\":[]}",
                "{\"author\":\"a\",\"objects\":[{\"kind\":\"model\",\"name\":\"m\"}]}",
                "{\"number\":8,\"author\":\"a\",\"objects\":[{\"kind\":\"service\",\"name\":\"s\",\"timeoutMillis\":1}]}");
        int refused = 0;
        for (String body : bodies) {
            assertEquals(400, operator.put(operators() + "/v1/tickets/7", body).status(), body);
            refused++;
        }
        assertEquals(7, refused);
        assertEquals(400, operator.put(operators() + "/v1/tickets/seven", "{}").status());
        assertEquals(404, operator.get(operators() + "/v1/tickets/7").status());
    }

    /** A body over the limit is rejected by its declared length, before the caller has sent it. */
    @Test
    void rejectsBodyOverTheLimit() throws Exception {
        String head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + deployment.callerKey()
                + "\r\nContent-Length: 99999999999\r\n\r\n";
        assertEquals("HTTP/1.1 413", sendRaw(head).substring(0, 12));
        assertNoRequestOpen();
    }

    /** A caller disconnects within its request body: nothing may be placed, and no request may stay open. */
    @Test
    void truncatedBodyLeavesNoRequestOpen() throws Exception {
        String address = deployment.entries().get(0).callers().toString();
        try (Socket socket = new Socket("127.0.0.1", Integer.parseInt(address.split(":")[1]))) {
            String head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + deployment.callerKey()
                    + "\r\nContent-Length: 1000\r\n\r\n{\"model\"";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
        }
        assertNoRequestOpen();
    }

    private static String sendRaw(String request) throws IOException {
        String address = deployment.entries().get(0).callers().toString();
        try (Socket socket = new Socket("127.0.0.1", Integer.parseInt(address.split(":")[1]))) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
            InputStream in = socket.getInputStream();
            return new String(in.readNBytes(12), StandardCharsets.US_ASCII);
        }
    }

    private static void assertNoRequestOpen() throws Exception {
        Client operator = new Client(deployment.operatorKey());
        Client.await(
                "no request is open",
                () -> operator.get(operators() + "/v1/status")
                                .json()
                                .path("requestsOpen")
                                .asInt()
                        == 0);
        Client.await("no memory is taken", () -> deployment.engines().get(0).usedKvTokens() == 0);
    }

    private static Request.Builder request(Case each) {
        RequestBody body =
                each.body() == null ? null : RequestBody.create(each.body(), MediaType.get("application/json"));
        return new Request.Builder().url(url(each.path())).method(each.method(), body);
    }

    private static String body(String field) {
        return "{\"model\":\"elm-small\",\"prompt\":\"x\"," + field + "}";
    }

    private static Client caller() {
        return new Client(deployment.callerKey());
    }

    private static String url(String path) {
        return "http://" + deployment.entries().get(0).callers() + path;
    }

    private static String operators() {
        return "http://" + deployment.entries().get(0).operators();
    }
}
