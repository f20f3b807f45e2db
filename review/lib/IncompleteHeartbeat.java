import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer sends heartbeats that lack fields; at the address in them is a web server, which is no replica. */
public final class IncompleteHeartbeat {
    private static final int REQUESTS = 300;
    private static final int INTERVAL_MILLIS = 30;
    private static final int HEARTBEAT_MILLIS = 1_200;

    private static final String CONFIG = "{\"version\":1,\"routes\":[{\"name\":\"r-hold\",\"host\":\"" + Lab.HOST
            + "\",\"pathPrefix\":\"/hold/\",\"kind\":\"non_idempotent\",\"timeoutMs\":1000,\"sloMs\":100,"
            + "\"priority\":2,\"service\":\"wuno96b\",\"attempts\":2,\"public\":true}],"
            + "\"services\":[{\"name\":\"wuno96b\",\"healthPath\":\"/health\",\"maxConns\":248,\"protocol\":\"h1\","
            + "\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}";

    private final Lab lab;
    private final AtomicInteger strangers = new AtomicInteger();
    private final Map<Integer, Integer> statuses = new TreeMap<>();

    private IncompleteHeartbeat(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] args) {
        Lab.play(args[0], 3, 1, (lab, trouble) -> new IncompleteHeartbeat(lab).holds(trouble));
    }

    private boolean holds(boolean trouble) throws Exception {
        lab.putConfig(CONFIG);
        for (int i = 1; i <= 3; i++) {
            lab.replica(i, "wuno96b", exchange -> {
                lab.note(exchange.replica.id, "runs " + exchange.id());
                Lab.sleep(15);
                exchange.send(exchange.success("held".getBytes(StandardCharsets.US_ASCII)));
            });
        }
        lab.awaitReady();
        Lab.sleep(2_000);
        String address = startWebServer();
        if (trouble) {
            Replica.daemon(() -> sendIncompleteHeartbeats(address));
        }
        Lab.sleep(1_500);
        for (int i = 0; i < REQUESTS; i++) {
            request(String.format("%016x", 0x9c41d07be2a30000L + i));
            Lab.sleep(INTERVAL_MILLIS);
        }
        int denied = statuses.entrySet().stream()
                .filter(each -> each.getKey() / 100 == 4 && !List.of(408, 421, 429).contains(each.getKey()))
                .mapToInt(Map.Entry::getValue).sum();
        lab.note("verdict", "statuses " + statuses + "; " + strangers + " requests reached the web server");
        return denied <= 5 + REQUESTS / 500;
    }

    private String startWebServer() throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(new InetSocketAddress(lab.net + ".200", 8080));
        Replica.daemon(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    Replica.daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
        return lab.net + ".200:8080";
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                Http.readBody(in, head);
                strangers.incrementAndGet();
                lab.note("web server", "got " + head.first + ", request " + head.header("X-Elmline-Request-Id"));
                out.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // The peer has closed the connection.
        }
    }

    /** Heartbeats without `version` and `slots`. */
    private void sendIncompleteHeartbeats(String address) {
        long born = System.currentTimeMillis();
        for (int i = 1; true; i++) {
            String json = "{\"service\":\"wuno96b\",\"address\":\"" + address + "\",\"zone\":\"chiangmai-a\","
                    + "\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":" + i + ",\"born\":" + born + "}";
            try {
                Http.Answer answer = Http.call(lab.controls.get(0), Lab.CONTROL_PORT, "PUT", "/replicas/i-7f3a91c2",
                        List.of("Content-Type: application/json"), json.getBytes(StandardCharsets.UTF_8), 1_000);
                lab.note("writer", "heartbeat " + json + " answered " + answer.status);
            } catch (IOException e) {
                lab.note("writer", "heartbeat " + e);
            }
            Lab.sleep(HEARTBEAT_MILLIS);
        }
    }

    private void request(String id) {
        int status = 0;
        try {
            status = Http.call(lab.node("edge-1").ip, Lab.CALLER_PORT, "POST", "/hold/a",
                    List.of("X-Elmline-Request-Id: " + id, "X-Elmline-Deadline-Ms: 1000"),
                    "seat".getBytes(StandardCharsets.US_ASCII), 1_500).status;
        } catch (IOException e) {
            lab.note("client", id + " " + e);
        }
        lab.note("client", id + " answered " + status);
        statuses.merge(status, 1, Integer::sum);
    }
}
