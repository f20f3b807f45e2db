package org.elmline.cli.operator;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.undertow.Handlers;
import io.undertow.server.HttpServerExchange;
import org.elmline.cli.ExitCode;
import org.elmline.cli.Main;
import org.elmline.core.common.ConfigVersion;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.timeline.EventQuery;
import org.elmline.core.timeline.EventRing;
import org.elmline.core.timeline.HybridClock;
import org.elmline.core.timeline.TicketEvent;
import org.elmline.daemon.http.HttpLimits;
import org.elmline.daemon.http.HttpListener;
import org.elmline.daemon.operator.EventsHandler;
import org.elmline.daemon.operator.OperatorKeyHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** The operator's commands against simulated hosts on loopback. */
class OperatorCommandsTest {
    private static final long NOW = 1_800_000_000_000L;
    private static final String KEY = "operator-key-0123456789";
    private static final String TICKET =
            "{\"number\":7,\"author\":\"ana\",\"objects\":[{\"kind\":\"service\",\"name\":\"booking\",\"timeoutMillis\":9}]}";

    @TempDir
    Path folder;

    private final Map<String, String> answers = new ConcurrentHashMap<>();
    private final List<HttpListener> hosts = new ArrayList<>();

    @BeforeEach
    void startHosts() {
        HybridClock fastClock = new HybridClock(() -> NOW + 40);
        EventRing control = new EventRing(HostId.of("c1"), Incarnation.of(1), fastClock, () -> NOW + 40, 10);
        control.record(new TicketEvent.Accepted(TicketNumber.of(7), ConfigVersion.of(3)));
        HybridClock correctClock = new HybridClock(() -> NOW);
        correctClock.merge(control.page(EventQuery.all()).events().get(0).time());
        EventRing entry = new EventRing(HostId.of("e1"), Incarnation.of(1), correctClock, () -> NOW, 1);
        entry.record(new TicketEvent.Followed(TicketNumber.of(6), ConfigVersion.of(2)));
        entry.record(new TicketEvent.Followed(TicketNumber.of(7), ConfigVersion.of(3)));
        hosts.add(host(entry));
        hosts.add(host(control));
        answers.put(
                "/v1/status",
                "{\"entryHosts\":[{\"operators\":\"" + hosts.get(0).address() + "\"}]}");
    }

    @AfterEach
    void stopHosts() {
        hosts.forEach(HttpListener::close);
    }

    @Test
    void timelineShowsCausesFirstFromEveryKnownHost() {
        Run run = run("timeline", "--key", KEY, "-o", url(1), "--ticket", "7");
        List<String> lines = run.out().lines().toList();
        assertEquals(2, lines.size(), run::toString);
        assertTrue(lines.get(0).contains("Accepted[ticket=7"), run::toString);
        assertTrue(lines.get(1).contains("Followed[ticket=7"), run::toString);
        assertTrue(run.err().contains("overwritten 1 earlier"), run::toString);
        assertEquals(ExitCode.OK.code(), run.code());
    }

    @Test
    void reportsHostThatDoesNotAnswer() {
        String hosts = url(1) + ",http://127.0.0.1:1";
        Run run = run("timeline", "--key", KEY, "-o", hosts, "--json", "--limit", "1", "--only-given");
        assertEquals(1, run.out().lines().count(), run::toString);
        assertTrue(run.out().startsWith("{\"host\":\"c1\""), run::toString);
        assertTrue(run.err().startsWith("missing: http://127.0.0.1:1/"), run::toString);
        assertEquals(ExitCode.OK.code(), run.code());
        assertEquals(
                ExitCode.UNREACHABLE.code(),
                run("timeline", "--key", KEY, "-o", "http://127.0.0.1:1").code());
    }

    @Test
    void rejectsWrongKey() {
        assertEquals(
                ExitCode.REFUSED.code(),
                run("status", "--key", "wrong", "-o", url(0)).code());
    }

    /**
     * The first host given is down, the second is up. The command must send the ticket to the second, since a ticket
     * sent twice is decided once, and wait until the deployment reports it in force.
     */
    @Test
    void sendsTicketToTheNextHostAndWaitsUntilInForce() throws Exception {
        Path file = Files.writeString(folder.resolve("7.json"), TICKET);
        answers.put("/v1/tickets/7", "{\"number\":7,\"accepted\":true,\"inForce\":true}");
        String hosts = "http://127.0.0.1:1," + url(0);
        Run run = run("ticket", "apply", file.toString(), "--key", KEY, "-o", hosts, "--wait-seconds", "20");
        assertEquals(ExitCode.OK.code(), run.code(), run::toString);
        assertTrue(run.out().contains("\"inForce\" : true"), run::toString);
    }

    @Test
    void reportsUnreachableWhenTicketIsNotInForceInTime() throws Exception {
        Path file = Files.writeString(folder.resolve("7.json"), TICKET);
        answers.put("/v1/tickets/7", "{\"number\":7,\"accepted\":true,\"inForce\":false,\"outstanding\":[\"e9\"]}");
        Run run = run("ticket", "apply", file.toString(), "--key", KEY, "-o", url(0), "--wait-seconds", "1");
        assertEquals(ExitCode.UNREACHABLE.code(), run.code(), run::toString);
        assertTrue(run.err().contains("e9"), run::toString);
    }

    @Test
    void mapsAnswersToExitCodes() {
        answers.put("/v1/tickets", "{\"tickets\":[]}");
        answers.put("/v1/tickets/8", "409{\"error\":{\"type\":\"stale_ticket\",\"message\":\"newer is 9\"}}");
        answers.put("/v1/tickets/9", "503{\"error\":{\"type\":\"no_leader\",\"message\":\"later\"}}");
        assertEquals(
                ExitCode.OK.code(),
                run("ticket", "list", "--key", KEY, "-o", url(0)).code());
        Run refused = run("ticket", "show", "8", "--key", KEY, "-o", url(0));
        assertEquals(ExitCode.REFUSED.code(), refused.code());
        assertEquals("elmline: 409 stale_ticket: newer is 9", refused.err().strip());
        assertEquals(
                ExitCode.UNREACHABLE.code(),
                run("ticket", "show", "9", "--key", KEY, "-o", url(0)).code());
        assertEquals(
                ExitCode.NOT_FOUND.code(),
                run("ticket", "show", "10", "--key", KEY, "-o", url(0)).code());
    }

    private HttpListener host(EventRing ring) {
        return HttpListener.start(
                "127.0.0.1",
                0,
                HttpLimits.DEFAULT,
                new OperatorKeyHandler(
                        List.of(KEY), Handlers.path(this::answer).addExactPath("/v1/events", new EventsHandler(ring))));
    }

    /** Sends the prepared body for the path, with the status in front of it when that isn't 200. */
    private void answer(HttpServerExchange exchange) {
        String prepared = answers.getOrDefault(exchange.getRequestPath(), "404{}");
        int body = prepared.indexOf('{');
        exchange.setStatusCode(body == 0 ? 200 : Integer.parseInt(prepared.substring(0, body)));
        exchange.getResponseSender().send(prepared.substring(body));
    }

    private String url(int host) {
        return "http://" + hosts.get(host).address();
    }

    private static Run run(String... line) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        CommandLine command = Main.commandLine();
        command.setOut(new PrintWriter(out, true)).setErr(new PrintWriter(err, true));
        return new Run(command.execute(line), out.toString(), err.toString());
    }

    /** What one run of the program printed, and its exit code. */
    private record Run(int code, String out, String err) {}
}
