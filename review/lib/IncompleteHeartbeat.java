import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Another writer sends heartbeats that lack fields and name the address of a control host. */
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
    private final Map<Integer, Integer> statuses = new TreeMap<>();
    private int denied;

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
        String address = lab.controls.get(1) + ":" + Lab.CONTROL_PORT;
        if (trouble) {
            Replica.daemon(() -> sendIncompleteHeartbeats(address));
        }
        Lab.sleep(1_500);
        for (int i = 0; i < REQUESTS; i++) {
            request(String.format("%016x", 0x9c41d07be2a30000L + i));
            Lab.sleep(INTERVAL_MILLIS);
        }
        int allowed = 5 + REQUESTS / 500;
        lab.note("verdict", "statuses " + statuses + "; " + denied + " requests ended with another 4xx than 408, 421 or 429"
                + " that bears no replica's seal; allowed " + allowed);
        return denied <= allowed;
    }

    /** Heartbeats without `version`, `slots` and `coldLeftMs`. */
    private void sendIncompleteHeartbeats(String address) {
        long born = System.currentTimeMillis();
        for (int i = 1; true; i++) {
            String json = "{\"service\":\"wuno96b\",\"address\":\"" + address + "\",\"zone\":\"chiangmai-a\","
                    + "\"state\":\"ready\",\"seq\":" + i + ",\"born\":" + born + "}";
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
        try {
            Http.Answer answer = Http.call(lab.node("edge-1").ip, Lab.CALLER_PORT, "POST", "/hold/a",
                    List.of("X-Elmline-Request-Id: " + id, "X-Elmline-Deadline-Ms: 1000"),
                    "seat".getBytes(StandardCharsets.US_ASCII), 1_500);
            boolean sealed = answer.head.header("X-Elmline-Replica-Seal") != null;
            boolean excepted = List.of(408, 421, 429).contains(answer.status);
            denied += answer.status / 100 == 4 && !excepted && !sealed ? 1 : 0;
            statuses.merge(answer.status, 1, Integer::sum);
            lab.note("client", id + " answered " + answer.status + (sealed ? ", sealed" : ", no seal, " + answer.text()));
        } catch (IOException e) {
            statuses.merge(0, 1, Integer::sum);
            lab.note("client", id + " " + e);
        }
    }
}
