package org.elmline.cli.local;

import java.io.IOException;

import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.elmline.cli.process.Client;
import org.elmline.standin.service.ServiceFaults;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Calls that may not be repeated, through two entries of one deployment. The service counts its executions. */
class ClaimedCallsTest {
    private static LocalDeployment deployment;
    private static Client caller;

    @BeforeAll
    static void start() throws Exception {
        deployment = LocalDeployment.builder().entries(2).start();
        caller = new Client(deployment.callerKey());
        Client.await("both entries know the service", () -> get(0).status() == 200 && get(1).status() == 200);
    }

    @AfterAll
    static void stop() {
        deployment.close();
    }

    @AfterEach
    void clearFaults() {
        deployment.service().faults().mode(ServiceFaults.Mode.NONE);
        deployment.service().faults().delayMillis(0);
    }

    @Test
    void rejectsCallWithoutAKeyBeforeSending() throws Exception {
        int before = runs();
        Client.Reply reply = hold(0, "s1", null);
        assertEquals(400, reply.status(), reply.body());
        assertEquals("no", reply.json().path("error").path("ran").asText());
        assertEquals(before, runs());
    }

    @Test
    void rejectsKeyThatWasNotIssuedBeforeSending() throws Exception {
        int before = runs();
        assertEquals(400, hold(0, "s1", "made-up").status());
        assertEquals(before, runs());
    }

    /**
     * A client retries on another entry after the first has answered. The answer is sent before it is recorded, so for
     * a moment the retry gets "may have run"; then it must get the recorded answer. One seat is held.
     */
    @Test
    void retryOnAnotherEntryGetsTheRecordedAnswer() throws Exception {
        int before = runs();
        String key = issueKey();
        Client.Reply first = hold(0, "s2", key);
        assertEquals(2, first.status() / 100, first.body());
        Client.await("the recorded answer", () -> hold(1, "s2", key).equals(first));
        assertEquals(before + 1, runs());
    }

    /**
     * The service holds the seat and its answer is lost. The caller gets "may have run"; so does the retry on another
     * entry, and nothing is sent again, since a second call could hold a second seat.
     */
    @Test
    void callWithALostAnswerIsNotSentAgain() throws Exception {
        int before = runs();
        String key = issueKey();
        deployment.service().faults().mode(ServiceFaults.Mode.DROP_ANSWER);
        Client.Reply first = hold(0, "s3", key);
        assertEquals(502, first.status(), first.body());
        assertEquals("unknown", first.json().path("error").path("ran").asText());
        deployment.service().faults().mode(ServiceFaults.Mode.NONE);
        Client.Reply second = hold(1, "s3", key);
        assertEquals(409, second.status(), second.body());
        assertEquals("unknown", second.json().path("error").path("ran").asText());
        assertEquals(before + 1, runs());
    }

    /**
     * The service refuses before anything ran: the caller is notified of that, and the same key may be used for a later
     * attempt.
     */
    @Test
    void callRefusedBeforeRunningMayBeRetried() throws Exception {
        int before = runs();
        String key = issueKey();
        deployment.service().faults().mode(ServiceFaults.Mode.FAIL_BEFORE_RUNNING);
        Client.Reply first = hold(0, "s4", key);
        assertEquals("no", first.json().path("error").path("ran").asText(), first.body());
        deployment.service().faults().mode(ServiceFaults.Mode.NONE);
        Client.await("the claim is given back", () -> hold(1, "s4", key).status() / 100 == 2);
        assertEquals(before + 1, runs());
    }

    @Test
    void rejectsKeyOfADifferentCall() throws Exception {
        int before = runs();
        String key = issueKey();
        assertEquals(2, hold(0, "s5", key).status() / 100);
        Client.Reply other = hold(0, "s6", key);
        assertEquals(409, other.status(), other.body());
        assertEquals("no", other.json().path("error").path("ran").asText());
        assertEquals(before + 1, runs());
    }

    private static Client.Reply get(int entry) throws IOException {
        return caller.get(url(entry) + "/v1/services/booking/schedule");
    }

    private static Client.Reply hold(int entry, String seat, String key) throws IOException {
        Request.Builder request = new Request.Builder()
                .url(url(entry) + "/v1/services/booking/seats/" + seat + "/hold")
                .post(RequestBody.create("{\"family\":\"f1\"}", MediaType.get("application/json")));
        if (key != null) {
            request.header("Idempotency-Key", key);
        }
        return caller.send(request);
    }

    private static String issueKey() throws IOException {
        return caller.post(url(0) + "/v1/idempotency-keys", "")
                .json()
                .path("key")
                .asText();
    }

    private static int runs() {
        return deployment.service().runs().runs().stream()
                .mapToInt(each -> each.count())
                .sum();
    }

    private static String url(int entry) {
        return "http://" + deployment.entries().get(entry).callers();
    }
}
