import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** An entry is frozen for a moment while a replica is cold, and then sends all that was granted to it meanwhile. */
public final class ThawedEntry {
    private static final double COLD_PER_SECOND = 17;
    private static final int COLD_MILLIS = 3_000;
    private static final double LIMIT = COLD_PER_SECOND * 1.5 + 5;
    private static final int FREEZE_AT_MILLIS = Integer.getInteger("at", 400);
    private static final int FREEZE_MILLIS = Integer.getInteger("freeze", 1_900);
    private static final int BURST = 90;

    private static final String CONFIG = "{\"version\":1,\"routes\":[" + route("r-order", "/order/", 0) + ","
            + route("r-status", "/status/", 2) + "],"
            + "\"services\":[{\"name\":\"huvo11a\",\"healthPath\":\"/health\",\"maxConns\":1056,\"protocol\":\"h1\","
            + "\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":17.0}],\"limits\":{\"maxHeaderBytes\":16384,"
            + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}";

    private final Lab lab;
    private final List<Long> arrivals = Collections.synchronizedList(new ArrayList<>());
    private volatile Replica cold;

    private ThawedEntry(Lab lab) {
        this.lab = lab;
    }

    private static String route(String name, String prefix, int priority) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + Lab.HOST + "\",\"pathPrefix\":\"" + prefix
                + "\",\"kind\":\"non_idempotent\",\"timeoutMs\":10000,\"sloMs\":8000,\"priority\":" + priority
                + ",\"service\":\"huvo11a\",\"attempts\":2,\"public\":true}";
    }

    public static void main(String[] args) {
        Lab.play(args[0], Lab.Site.KOVACS, 9, 3, (lab, trouble) -> new ThawedEntry(lab).holds(trouble));
    }

    private boolean holds(boolean trouble) throws Exception {
        lab.putConfig(CONFIG);
        Replica old = lab.replica(1, "huvo11a", this::answer);
        lab.awaitReady();
        for (int i = 0; i < 60; i++) {
            for (int entry = 1; entry <= 3; entry++) {
                request("edge-" + entry, "/status/", 1_000 + 10 * i + entry);
            }
            Lab.sleep(100);
        }
        String dispatcher = dispatcher();
        String frozen = dispatcher.equals("edge-1") ? "edge-2" : "edge-1";
        lab.note("platform", dispatcher + " dispatches the service; " + frozen + " will be frozen");

        // A release: the new replica starts first, the old one drains.
        cold = lab.newReplica(2, "huvo11a", this::answer);
        long start = lab.millis();
        cold.coldUntil = start + COLD_MILLIS;
        cold.start();
        Lab.sleep(100);
        old.state = "draining";
        old.sendHeartbeatNow();
        lab.note("platform", "replica " + cold.id + " starts cold, " + old.id + " drains");
        Lab.sleep(200);
        for (int i = 0; i < BURST; i++) {
            int number = i;
            Replica.daemon(() -> request(frozen, "/order/", 2_000 + number));
        }
        String third = List.of("edge-1", "edge-2", "edge-3").stream()
                .filter(each -> !each.equals(frozen) && !each.equals(dispatcher)).findFirst().orElseThrow();
        Replica.daemon(() -> {
            for (int i = 0; i < 100; i++) {
                int number = i;
                Replica.daemon(() -> request(third, "/status/", 3_000 + number));
                Lab.sleep(40);
            }
        });
        Lab.sleep(start + FREEZE_AT_MILLIS - lab.millis());
        if (trouble) {
            lab.node(frozen).signal("STOP");
        }
        Lab.sleep(FREEZE_MILLIS);
        if (trouble) {
            lab.node(frozen).signal("CONT");
        }
        Lab.sleep(start + COLD_MILLIS + 1_500 - lab.millis());
        return judge(start);
    }

    private boolean judge(long start) {
        List<Long> whileCold = new ArrayList<>();
        for (long each : List.copyOf(arrivals)) {
            if (each < start + COLD_MILLIS) {
                whileCold.add(each);
            }
        }
        Collections.sort(whileCold);
        int most = 0;
        long from = 0;
        for (int i = 0; i < whileCold.size(); i++) {
            int count = 0;
            for (int j = i; j < whileCold.size() && whileCold.get(j) - whileCold.get(i) < 1_000; j++) {
                count++;
            }
            from = count > most ? whileCold.get(i) : from;
            most = Math.max(most, count);
        }
        lab.note("verdict", whileCold.size() + " requests reached the cold replica, at most " + most + " in one second (from "
                + (from - start) + " ms after its start); allowed " + LIMIT);
        return most <= LIMIT;
    }

    private String dispatcher() throws IOException {
        for (Lab.Node each : lab.nodes) {
            if (each.entry && each.log().lines().anyMatch(line ->
                    line.contains("\"event\":\"dispatcher started\"") && line.contains("\"first\":true"))) {
                return each.name;
            }
        }
        throw new IOException("no entry dispatches the service");
    }

    private void answer(Replica.Exchange exchange) throws IOException {
        if (exchange.replica == cold) {
            arrivals.add(lab.millis());
            lab.note(exchange.replica.id, "gets " + exchange.id());
        }
        Lab.sleep(20);
        exchange.send(exchange.success("done".getBytes(StandardCharsets.US_ASCII)));
    }

    private void request(String entry, String prefix, int number) {
        String id = String.format("%016x", 0x9c41d07b00000000L + number);
        try {
            Http.Answer answer = Http.call(lab.node(entry).ip, Lab.CALLER_PORT, "POST", prefix + "a",
                    List.of("X-Elmline-Request-Id: " + id, "X-Elmline-Deadline-Ms: 10000"),
                    "x".getBytes(StandardCharsets.US_ASCII), 10_500);
            if (answer.status != 200 || number >= 2_000) {
                lab.note("client", id + " at " + entry + " answered " + answer.status);
            }
        } catch (IOException e) {
            lab.note("client", id + " at " + entry + " " + e);
        }
    }
}
