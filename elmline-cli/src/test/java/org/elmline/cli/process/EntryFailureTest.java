package org.elmline.cli.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.elmline.core.common.ModelName;
import org.elmline.standin.AnswerText;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Entries, engines and services as separate processes that are killed, frozen and stopped while they serve. */
class EntryFailureTest {
    private static final int LONG_ANSWER_TOKENS = 300;

    /** Characters of an answer that lasts over a second. */
    private static final int LONG_ANSWER_CHARACTERS = 1_000;

    @TempDir
    Path folder;

    private ProcessDeployment deployment;

    @BeforeEach
    void start() throws Exception {
        deployment = new ProcessDeployment(folder);
        deployment.start();
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    /**
     * An entry freezes after it sent a call that holds a seat and before the service has answered. The client retries
     * on the other entry under the same key. It must get "may have run", and when the frozen entry continues the seat
     * must be held once: the claim was committed before the call was sent, so the second entry sends nothing.
     */
    @Test
    void retryAfterAFrozenEntryRunsTheCallOnce() throws Exception {
        String key = issueKey();
        deployment.caller.put(deployment.service.ready("service") + "/standin/faults", "{\"delayMillis\":3000}");
        CompletableFuture<Client.Reply> first = holdAsync(0, key);
        // Waits for the claim of the first entry: a retry that came before it would own the claim itself.
        awaitReceived(0);
        assertEquals(409, hold(1, key).status());
        deployment.entries.get(0).freeze();
        Thread.sleep(5_000);
        Client.Reply retry = hold(1, key);
        assertEquals(409, retry.status(), retry.body());
        assertEquals("unknown", retry.json().path("error").path("ran").asText());
        deployment.entries.get(0).resume();
        first.handle((reply, failure) -> reply).get();
        assertEquals(1, runs(key));
    }

    /**
     * The entry that sent a seat hold is killed before the service has answered. No process can determine the outcome
     * of the call, so a retry on the other entry gets "may have run", now and later, and the seat must be held once.
     */
    @Test
    void retryAfterAKilledEntryRunsTheCallOnce() throws Exception {
        String key = issueKey();
        deployment.caller.put(deployment.service.ready("service") + "/standin/faults", "{\"delayMillis\":2000}");
        CompletableFuture<Client.Reply> interrupted = holdAsync(0, key);
        awaitReceived(0);
        deployment.entries.get(0).kill();
        interrupted.handle((reply, failure) -> reply).get();
        for (int i = 0; i < 3; i++) {
            Client.Reply retry = hold(1, key);
            assertEquals(409, retry.status(), retry.body());
            assertEquals("unknown", retry.json().path("error").path("ran").asText());
            Thread.sleep(1_500);
        }
        assertEquals(1, runs(key));
    }

    /**
     * An engine freezes during an answer with its connections open: after the stream timeout the answer continues on
     * another engine and must be exact.
     */
    @Test
    void continuesAnswerOfAFrozenEngine() throws Exception {
        CompletableFuture<Client.Stream> answer = deployment.stream(0, "frozen engine", LONG_ANSWER_TOKENS);
        Client.await("an open stream", () -> deployment.openStreams() == 1);
        streamingEngine().freeze();
        assertExact("frozen engine", answer.get());
    }

    /** An entry is killed with long answers in flight: within seconds the engines must hold no memory for them. */
    @Test
    void freesEngineMemoryOfAKilledEntry() throws Exception {
        // Slows the engines down, so that no answer ends by itself while the test waits.
        for (ElmlineProcess each : deployment.engines) {
            deployment.caller.put(each.ready("engine") + "/standin/faults", "{\"slowdown\":20}");
        }
        List<CompletableFuture<Client.Stream>> interrupted = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            interrupted.add(deployment.stream(0, "orphan " + i, 4000));
        }
        Client.await("four open streams", () -> deployment.openStreams() == 4);
        deployment.entries.get(0).kill();
        Client.await("no open streams", () -> deployment.openStreams() == 0);
        assertEquals(4, interrupted.size());
    }

    /** An engine is killed during an answer: the caller must get the exact answer, continued on the other engine. */
    @Test
    void continuesAnswerOfAKilledEngine() throws Exception {
        CompletableFuture<Client.Stream> answer = deployment.stream(0, "killed engine", LONG_ANSWER_TOKENS);
        Client.await("an open stream", () -> deployment.openStreams() == 1);
        streamingEngine().kill();
        assertExact("killed engine", answer.get());
    }

    /**
     * Each process in turn is stopped by SIGTERM while answers stream: no answer may be cut off, and the process must
     * end.
     */
    @Test
    void gracefulStopInterruptsNoAnswer() throws Exception {
        int completeAnswers = 0;
        List<String> prompts = longPrompts(4);
        for (ElmlineProcess stopping :
                List.of(deployment.engines.get(0), deployment.control, deployment.entries.get(1))) {
            List<CompletableFuture<Client.Stream>> answers = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                answers.add(deployment.stream(i % 2, prompts.get(i), LONG_ANSWER_TOKENS));
            }
            Client.await("open streams", () -> deployment.openStreams() == 4);
            stopping.terminate();
            for (int i = 0; i < 4; i++) {
                assertExact(prompts.get(i), answers.get(i).get());
                completeAnswers++;
            }
            assertTrue(stopping.waitForEnd(), "it did not end");
        }
        assertEquals(12, completeAnswers);
    }

    private String issueKey() throws IOException {
        return deployment
                .caller
                .post(deployment.entries.get(0).ready("caller") + "/v1/idempotency-keys", "")
                .json()
                .path("key")
                .asText();
    }

    /** The engine with the only open stream. */
    private ElmlineProcess streamingEngine() throws IOException {
        for (ElmlineProcess each : deployment.engines) {
            if (deployment
                            .caller
                            .get(each.ready("engine") + "/v1/streams")
                            .json()
                            .size()
                    == 1) {
                return each;
            }
        }
        throw new IOException("no engine streams");
    }

    private CompletableFuture<Client.Reply> holdAsync(int entry, String key) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return hold(entry, key);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    private Client.Reply hold(int entry, String key) throws IOException {
        return deployment.caller.send(new Request.Builder()
                .url(deployment.service(entry, "seats/s1/hold"))
                .header("Idempotency-Key", key)
                .post(RequestBody.create("{}", MediaType.get("application/json"))));
    }

    private long sentClaims(int entry) throws IOException {
        String metrics = deployment
                .operator
                .get(deployment.entries.get(entry).ready("operator") + "/metrics")
                .body();
        return metrics.lines()
                .filter(each -> each.contains("service_claims_sent") && !each.startsWith("#"))
                .mapToLong(each -> Long.parseLong(each.substring(each.lastIndexOf(' ') + 1)))
                .sum();
    }

    /** Waits until the service has received the call: an entry counts a claim as sent before it sends the call. */
    private void awaitReceived(int entry) throws Exception {
        Client.await("the call is sent", () -> sentClaims(entry) == 1);
        Client.await(
                "the call is received", () -> serviceRuns().path("received").asInt() == 1);
    }

    private JsonNode serviceRuns() throws IOException {
        return deployment
                .caller
                .get(deployment.service.ready("service") + "/runs")
                .json();
    }

    private int runs(String key) throws IOException {
        int runs = 0;
        for (JsonNode each : serviceRuns().path("runs")) {
            runs += each.path("idempotencyKey").asText().equals(key)
                    ? each.path("count").asInt()
                    : 0;
        }
        return runs;
    }

    /**
     * Prompts with long answers. The length of a stand-in's answer depends on the prompt: one that is over after 0.2 s
     * leaves hardly a moment with all streams open, and on a busy machine none.
     */
    private static List<String> longPrompts(int count) {
        List<String> prompts = new ArrayList<>();
        for (int i = 0; prompts.size() < count; i++) {
            String prompt = "stop " + i;
            if (wholeAnswer(prompt).length() >= LONG_ANSWER_CHARACTERS) {
                prompts.add(prompt);
            }
        }
        return prompts;
    }

    private static String wholeAnswer(String prompt) {
        return AnswerText.of(ModelName.of("elm-small"), "", prompt, LONG_ANSWER_TOKENS)
                .text();
    }

    private static void assertExact(String prompt, Client.Stream stream) {
        assertEquals(wholeAnswer(prompt), stream.text());
        assertTrue(stream.done(), "the end mark is missing");
    }
}
