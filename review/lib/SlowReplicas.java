import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients send bodies within the operator's limit while the replicas read slowly. */
public final class SlowReplicas {
    private static final int REPLICAS = 21;
    private static final int BODY_BYTES = 2_000_000;
    private static final int REQUESTS = 120;
    private static final int INTERVAL_MILLIS = 100;
    private static final int READ_MILLIS = 10_000;
    private static final int TIMEOUT_MILLIS = 15_000;
    private static final int SLACK_MILLIS = 500;
    private static final int MIN_UNANSWERED = 8;

    private static final String CONFIG = "{\"version\":1,\"routes\":[{\"name\":\"r-review\",\"host\":\"" + Lab.HOST
            + "\",\"pathPrefix\":\"/review/\",\"kind\":\"idempotent\",\"timeoutMs\":" + TIMEOUT_MILLIS
            + ",\"sloMs\":3000,\"priority\":1,\"service\":\"huvo11a\",\"attempts\":2,\"public\":true}],"
            + "\"services\":[{\"name\":\"huvo11a\",\"healthPath\":\"/health\",\"maxConns\":819,\"protocol\":\"h1\","
            + "\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}";

    private final Lab lab;
    private final String entryIp;
    private final byte[] body = new byte[BODY_BYTES];
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();

    private SlowReplicas(Lab lab, String entryIp) {
        this.lab = lab;
        this.entryIp = entryIp;
    }

    public static void main(String[] args) {
        Lab.play(args[0], 3, 1, SlowReplicas::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        lab.putConfig(CONFIG);
        for (int i = 1; i <= REPLICAS; i++) {
            Replica replica = lab.replica(i, "huvo11a", exchange -> {
                lab.note(exchange.replica.id, "runs " + exchange.id());
                exchange.send(exchange.success("reviewed".getBytes()));
            });
            replica.readMillis = trouble ? READ_MILLIS : 0;
        }
        lab.awaitReady();
        Lab.sleep(3_000);
        return new SlowReplicas(lab, lab.node("edge-1").ip).holds();
    }

    private boolean holds() throws InterruptedException {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = String.format("%016x", 0x9c41d07be2a30000L + i);
            clients.add(Replica.daemon(() -> request(id)));
            Lab.sleep(INTERVAL_MILLIS);
        }
        for (Thread each : clients) {
            each.join();
        }
        int lasting = late.get() + unanswered.get();
        lab.note("clients", REQUESTS + " requests: " + answered + " answered within " + TIMEOUT_MILLIS + " ms, " + closed
                + " connections closed without an answer, " + late + " answered in the next " + SLACK_MILLIS + " ms, "
                + unanswered + " without a final answer by then");
        observeHang();
        return unanswered.get() < MIN_UNANSWERED || 4 * unanswered.get() <= lasting;
    }

    /** Waits for the final answer to one request until half a second after its route's timeout. */
    private void request(String id) {
        long begin = lab.millis();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entryIp, Lab.CALLER_PORT), 1_000);
            OutputStream out = socket.getOutputStream();
            out.write(Http.request("POST", "/review/a", Lab.HOST,
                    List.of("X-Elmline-Request-Id: " + id, "X-Elmline-Deadline-Ms: " + (TIMEOUT_MILLIS + SLACK_MILLIS)),
                    body));
            out.flush();
            begin = lab.millis();
            lab.note("client", id + " sent whole");
            socket.setSoTimeout(TIMEOUT_MILLIS + SLACK_MILLIS);
            Http.Answer answer = Http.readAnswer(new BufferedInputStream(socket.getInputStream()));
            long millis = lab.millis() - begin;
            lab.note("client", id + " answered " + answer.status + " after " + millis + " ms");
            (millis <= TIMEOUT_MILLIS ? answered : late).incrementAndGet();
        } catch (SocketTimeoutException e) {
            lab.note("client", id + " has no final answer " + (lab.millis() - begin) + " ms after it was sent");
            unanswered.incrementAndGet();
        } catch (IOException e) {
            lab.note("client", id + " " + e + " after " + (lab.millis() - begin) + " ms");
            closed.incrementAndGet();
        }
    }

    /** Notes, after all requests have ended, whether the entry still serves. */
    private void observeHang() {
        lab.replicas.forEach(each -> each.readMillis = 0);
        Lab.Node entry = lab.node("edge-1");
        lab.note("platform", "process of edge-1 " + (entry.process.isAlive() ? "runs" : "has ended") + "; /ready "
                + (lab.isReady(entry) ? "answers 200" : "does not answer 200 within a second"));
        for (int i = 0; i < 3; i++) {
            try {
                Http.Answer answer = Http.call(entryIp, Lab.CALLER_PORT, "GET", "/review/b",
                        List.of("X-Elmline-Request-Id: 00000000000000b" + i, "X-Elmline-Deadline-Ms: 3000"), null, 3_000);
                lab.note("client", "a later small request is answered " + answer.status);
            } catch (IOException e) {
                lab.note("client", "a later small request: " + e);
            }
        }
        try {
            entry.log().lines().filter(each -> each.contains("OutOfMemoryError")).limit(3)
                    .forEach(each -> lab.note("edge-1 log", each));
        } catch (IOException e) {
            lab.note("edge-1 log", e.toString());
        }
    }
}
