import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** An entry gets SIGTERM while clients steadily read the answers that their replicas have given long before. */
public final class SlowReaderAtStop {
    private static final int CLIENTS = 3;
    private static final int ANSWER_BYTES = 14_000_000;
    private static final int BYTES_PER_SECOND = 2_000_000;
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int GRACE_MILLIS = 8_000;

    private static final String CONFIG = "{\"version\":1,\"routes\":[{\"name\":\"r-archive\",\"host\":\"" + Lab.HOST
            + "\",\"pathPrefix\":\"/archive/\",\"kind\":\"idempotent\",\"timeoutMs\":" + TIMEOUT_MILLIS
            + ",\"sloMs\":1500,\"priority\":1,\"service\":\"wuno96b\",\"attempts\":2,\"public\":true}],"
            + "\"services\":[{\"name\":\"wuno96b\",\"healthPath\":\"/health\",\"maxConns\":248,\"protocol\":\"h1\","
            + "\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}";

    private final Lab lab;
    private final byte[] content = new byte[ANSWER_BYTES];
    private final AtomicInteger cut = new AtomicInteger();
    private volatile long termAt;

    private SlowReaderAtStop(Lab lab) {
        this.lab = lab;
        new Random(7).nextBytes(content);
    }

    public static void main(String[] args) {
        Lab.play(args[0], 3, 2, (lab, trouble) -> new SlowReaderAtStop(lab).holds(trouble));
    }

    private boolean holds(boolean trouble) throws Exception {
        lab.putConfig(CONFIG);
        for (int i = 1; i <= 3; i++) {
            lab.replica(i, "wuno96b", exchange -> {
                lab.note(exchange.replica.id, "runs " + exchange.id());
                exchange.send(exchange.success(content));
                lab.note(exchange.replica.id, "has sent the whole answer to " + exchange.id());
            });
        }
        lab.awaitReady();
        Lab.sleep(4_000);
        Lab.Node entry = lab.node("edge-1");
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String id = "9c41d07be2a35f6" + i;
            clients.add(Replica.daemon(() -> request(entry.ip, id)));
        }
        Lab.sleep(500);
        termAt = lab.millis();
        if (trouble) {
            entry.signal("TERM");
        }
        for (Thread each : clients) {
            each.join();
        }
        return cut.get() == 0;
    }

    private void request(String ip, String id) {
        int count = 0;
        String end = "complete";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, Lab.CALLER_PORT), 1_000);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.getOutputStream().write(Http.request("GET", "/archive/a", Lab.HOST,
                    List.of("X-Elmline-Request-Id: " + id, "X-Elmline-Deadline-Ms: " + TIMEOUT_MILLIS), null));
            lab.note("client", "sent " + id);
            InputStream in = socket.getInputStream();
            Http.Head head = Http.readHead(in);
            lab.note("client", id + " got " + head.first + ", Content-Length " + head.length());
            byte[] got = new byte[(int) head.length()];
            long begin = lab.millis();
            while (count < got.length) {
                Lab.sleep(begin + 1_000L * count / BYTES_PER_SECOND - lab.millis());
                int read = in.read(got, count, Math.min(8_192, got.length - count));
                if (read < 0) {
                    throw new IOException("end of input");
                }
                count += read;
            }
            if (!Arrays.equals(got, content)) {
                throw new IOException("another body");
            }
        } catch (IOException e) {
            end = e.toString();
            cut.incrementAndGet();
        }
        lab.note("client", id + " read " + count + " of " + ANSWER_BYTES + " bytes, " + (lab.millis() - termAt)
                + " ms after the SIGTERM (grace " + GRACE_MILLIS + " ms): " + end);
    }
}
