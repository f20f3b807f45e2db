import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** A configuration shortens a route's timeout below the time that the first event of its streams takes. */
public final class HeadBeforeTimeout {
    private static final int CLIENTS = 16;
    private static final int FIRST_EVENT_MILLIS = 2_500;
    private static final int EVENT_MILLIS = 50;
    private static final int EVENTS = 17;
    private static final int TIMEOUT_BEFORE_MILLIS = 15_000;
    private static final int TIMEOUT_AFTER_MILLIS = 2_000;
    private static final int CONFIG_MILLIS = 2_000;
    private static final int MAX_CLOSED = 3;

    private final Lab lab;
    private final AtomicInteger closed = new AtomicInteger();
    private final CountDownLatch warm = new CountDownLatch(CLIENTS);
    private final CountDownLatch changed = new CountDownLatch(1);

    private HeadBeforeTimeout(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] args) {
        Lab.play(args[0], 3, 1, (lab, trouble) -> new HeadBeforeTimeout(lab).holds(trouble));
    }

    private static String config(int version, int timeoutMillis) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-audit\",\"host\":\"" + Lab.HOST
                + "\",\"pathPrefix\":\"/audit/\",\"kind\":\"streaming\",\"timeoutMs\":" + timeoutMillis
                + ",\"sloMs\":3000,\"priority\":1,\"service\":\"huvo11a\",\"attempts\":2,\"public\":true,"
                + "\"sticky\":true,\"resumable\":true,\"gapTargetMs\":800}],"
                + "\"services\":[{\"name\":\"huvo11a\",\"healthPath\":\"/health\",\"maxConns\":819,"
                + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
                + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}";
    }

    private boolean holds(boolean trouble) throws Exception {
        lab.putConfig(config(1, TIMEOUT_BEFORE_MILLIS));
        for (int i = 1; i <= 4; i++) {
            lab.replica(i, "huvo11a", this::stream);
        }
        lab.awaitReady();
        Lab.sleep(2_000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Replica.daemon(() -> client(number)));
            Lab.sleep(20);
        }
        warm.await();
        if (trouble) {
            lab.putConfig(config(2, TIMEOUT_AFTER_MILLIS));
        }
        Lab.sleep(CONFIG_MILLIS + 500);
        changed.countDown();
        for (Thread each : clients) {
            each.join();
        }
        lab.note("verdict", closed + " kept connections were closed without an answer");
        return closed.get() <= MAX_CLOSED;
    }

    /** The head at once, as a server of event streams sends it; the first event after the prompt is read. */
    private void stream(Replica.Exchange exchange) throws IOException {
        String id = exchange.id();
        lab.note(exchange.replica.id, "runs " + id + ", sends the head of its answer");
        exchange.send(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Elmline-Request-Id: " + id
                + "\r\nX-Elmline-Replica-Seal: " + exchange.replica.seal(id)
                + "\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        Lab.sleep(FIRST_EVENT_MILLIS);
        for (int i = 1; i <= EVENTS; i++) {
            String event = "id: " + i + "\ndata: " + id + "." + i + "\n\n";
            exchange.send((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            Lab.sleep(EVENT_MILLIS);
        }
        exchange.send("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    private void client(int number) {
        String ip = lab.node("edge-1").ip;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, Lab.CALLER_PORT), 1_000);
            socket.setSoTimeout(TIMEOUT_BEFORE_MILLIS + 1_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            ask(socket, in, String.format("%016x", 0x9c41d07be2a30000L + number));
            warm.countDown();
            changed.await();
            String second = String.format("%016x", 0x9c41d07be2a31000L + number);
            long begin = lab.millis();
            try {
                ask(socket, in, second);
            } catch (IOException e) {
                closed.incrementAndGet();
                lab.note("client", second + " " + e.getMessage() + ", " + (lab.millis() - begin) + " ms after it was sent");
            }
        } catch (IOException | InterruptedException e) {
            lab.note("client", number + " " + e);
        } finally {
            warm.countDown();
        }
    }

    private void ask(Socket socket, InputStream in, String id) throws IOException {
        socket.getOutputStream().write(Http.request("POST", "/audit/a", Lab.HOST,
                List.of("X-Elmline-Request-Id: " + id, "X-Elmline-Model: m", "X-Elmline-Token-Count: 210000,800",
                        "X-Elmline-Prompt-Prefix: 5c1e07a2:40,91bd3f06:209960", "X-Elmline-Deadline-Ms: 15003"),
                "prompt".getBytes(StandardCharsets.US_ASCII)));
        lab.note("client", id + " sent");
        Http.Answer answer = Http.readAnswer(in);
        lab.note("client", id + " answered " + answer.status + ", " + answer.body.length + " bytes");
    }
}
