import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Some replicas send bytes after a few of their complete answers, late: when the next request is on the connection. */
public final class LateExtraAnswer {
    private static final int REPLICAS = 3;
    private static final int GARBLING_REPLICAS = 2;
    private static final int ANSWERS_FOR_EACH_EXTRA = 34;
    private static final int TROUBLE_MILLIS = 5_000;
    private static final int REQUESTS = 400;
    private static final int INTERVAL_MILLIS = 15;
    private static final int WORK_MILLIS = 15;

    /** The refusal as "fleetbench wire" prints it under "a server sheds"; it bears no request id. */
    private static final byte[] EXTRA =
            "HTTP/1.1 503 Service Unavailable\r\nX-Elmline-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1);

    private static final String CONFIG = "{\"version\":1,\"routes\":[{\"name\":\"r-hold\",\"host\":\"" + Lab.HOST
            + "\",\"pathPrefix\":\"/hold/\",\"kind\":\"non_idempotent\",\"timeoutMs\":1000,\"sloMs\":100,"
            + "\"priority\":2,\"service\":\"wuno96b\",\"attempts\":2,\"public\":true}],"
            + "\"services\":[{\"name\":\"wuno96b\",\"healthPath\":\"/health\",\"maxConns\":248,\"protocol\":\"h1\","
            + "\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}";

    private final Lab lab;
    private final Map<String, List<String>> replicasByRequest = new ConcurrentHashMap<>();
    private final Set<Socket> owed = Collections.synchronizedSet(new HashSet<>());
    private final AtomicInteger extras = new AtomicInteger();
    private volatile long troubleFrom = Long.MAX_VALUE;

    private LateExtraAnswer(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] args) {
        Lab.play(args[0], 3, 1, (lab, trouble) -> new LateExtraAnswer(lab).holds(trouble));
    }

    private boolean holds(boolean trouble) throws Exception {
        lab.putConfig(CONFIG);
        for (int i = 1; i <= REPLICAS; i++) {
            boolean garbles = trouble && i <= GARBLING_REPLICAS;
            AtomicInteger answers = new AtomicInteger();
            lab.replica(i, "wuno96b", exchange -> answer(exchange, garbles, answers));
        }
        lab.awaitReady();
        Lab.sleep(2_000);
        troubleFrom = lab.millis();
        String entry = lab.node("edge-1").ip;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = String.format("%016x", 0x9c41d07be2a30000L + i);
            clients.add(Replica.daemon(() -> request(entry, id)));
            Lab.sleep(INTERVAL_MILLIS);
        }
        for (Thread each : clients) {
            each.join();
        }
        int twice = 0;
        for (Map.Entry<String, List<String>> each : new TreeMap<>(replicasByRequest).entrySet()) {
            if (each.getValue().size() > 1) {
                twice++;
                lab.note("verdict", each.getKey() + " ran at " + each.getValue());
            }
        }
        lab.note("verdict", twice + " of " + replicasByRequest.size() + " requests ran more than once; " + extras
                + " answers were followed by extra bytes");
        return twice == 0;
    }

    private void answer(Replica.Exchange exchange, boolean garbles, AtomicInteger answers) throws IOException {
        String replica = exchange.replica.id;
        if (owed.remove(exchange.socket)) {
            lab.note(replica, "sends the extra bytes of an earlier answer, as " + exchange.id() + " is on the connection");
            exchange.send(EXTRA);
        }
        lab.note(replica, "runs " + exchange.id());
        replicasByRequest.computeIfAbsent(exchange.id(), id -> Collections.synchronizedList(new ArrayList<>()))
                .add(replica);
        Lab.sleep(WORK_MILLIS);
        exchange.send(exchange.success("held".getBytes(StandardCharsets.US_ASCII)));
        long since = lab.millis() - troubleFrom;
        boolean inTrouble = garbles && since >= 0 && since < TROUBLE_MILLIS;
        if (inTrouble && answers.incrementAndGet() % ANSWERS_FOR_EACH_EXTRA == 0) {
            extras.incrementAndGet();
            owed.add(exchange.socket);
        }
    }

    private void request(String entry, String id) {
        try {
            Http.Answer answer = Http.call(entry, Lab.CALLER_PORT, "POST", "/hold/a",
                    List.of("X-Elmline-Request-Id: " + id, "X-Elmline-Deadline-Ms: 1000"),
                    "seat".getBytes(StandardCharsets.US_ASCII), 1_500);
            lab.note("client", id + " answered " + answer.status);
        } catch (IOException e) {
            lab.note("client", id + " " + e);
        }
    }
}
