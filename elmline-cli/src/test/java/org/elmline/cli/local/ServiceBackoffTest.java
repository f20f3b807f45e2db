package org.elmline.cli.local;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.elmline.cli.process.Client;
import org.elmline.standin.service.ServiceFaults;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A plain service whose refusals request a backoff from the entry that called it. */
class ServiceBackoffTest {
    private static final long BACKOFF_SECONDS = 3;

    /** Guards against an entry that goes on calling a service that requested a backoff. */
    @Test
    void entrySendsNothingDuringRequestedBackoff() throws Exception {
        try (LocalDeployment deployment = LocalDeployment.builder().entries(2).start()) {
            Client caller = new Client(deployment.callerKey());
            for (int entry = 0; entry < 2; entry++) {
                String url = url(deployment, entry);
                Client.await(
                        "entry " + entry + " has a record of the service",
                        () -> caller.get(url + "/v1/services/booking/schedule").status() == 200);
            }
            deployment.service().faults().retryAfterSeconds(BACKOFF_SECONDS);
            deployment.service().faults().mode(ServiceFaults.Mode.FAIL_BEFORE_RUNNING);
            long backoffStart = System.nanoTime();
            for (int i = 0; i < 5; i++) {
                assertDidNotRun(hold(deployment, caller, 0));
            }
            assertEquals(1, deployment.service().refusals());
            assertDidNotRun(hold(deployment, caller, 1));
            assertEquals(2, deployment.service().refusals(), "a backoff holds for one entry");
            deployment.service().faults().mode(ServiceFaults.Mode.NONE);
            Client.await(
                    "calls after the backoff", () -> hold(deployment, caller, 0).status() == 200);
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - backoffStart);
            assertEquals(2, deployment.service().refusals());
            assertTrue(millis >= BACKOFF_SECONDS * 1_000, "served after " + millis + " ms");
        }
    }

    private static void assertDidNotRun(Client.Reply refusal) throws IOException {
        assertEquals("no", refusal.json().path("error").path("ran").asText(), refusal.body());
    }

    private static String url(LocalDeployment deployment, int entry) {
        return "http://" + deployment.entries().get(entry).callers();
    }

    private static Client.Reply hold(LocalDeployment deployment, Client caller, int entry) throws IOException {
        String keyUrl = url(deployment, entry) + "/v1/idempotency-keys";
        String key = caller.post(keyUrl, "").json().path("key").asText();
        return caller.send(new Request.Builder()
                .url(url(deployment, entry) + "/v1/services/booking/seats/a1/hold")
                .header("Idempotency-Key", key)
                .post(RequestBody.create("{\"family\":\"f1\"}", MediaType.get("application/json"))));
    }
}
