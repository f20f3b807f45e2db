package org.elmline.cli.local;

import java.util.concurrent.CompletableFuture;

import org.elmline.cli.process.Client;
import org.elmline.core.common.ModelName;
import org.elmline.standin.AnswerText;
import org.elmline.standin.engine.EngineServer;
import org.elmline.standin.engine.PieceFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Answers stay complete and exact when engines, connections and entries fail while they stream. */
class BrokenStreamsTest {
    private static final int ANSWER_TOKENS = 400;
    private static final double SLOWDOWN = 20;

    private LocalDeployment deployment;
    private Client caller;

    @BeforeEach
    void start() throws Exception {
        deployment =
                LocalDeployment.builder().entries(2).engines(2).keepSeconds(1).start();
        caller = new Client(deployment.callerKey());
        Client.await(
                "an answer from each entry",
                () -> complete(0, "warm up", 4).status() == 200
                        && complete(1, "warm up", 4).status() == 200);
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    /**
     * One engine's pieces arrive twice, out of order or mixed with another caller's, or every fifth is missing, also
     * when requested again. The caller must get the exact answer, in the last case continued on the other engine.
     */
    @Test
    void givesExactAnswerFromDamagedStreams() throws Exception {
        int exact = 0;
        for (PieceFault fault : PieceFault.values()) {
            for (EngineServer damaged : deployment.engines()) {
                deployment.engines().forEach(each -> each.faults().pieces(PieceFault.NONE));
                damaged.faults().pieces(fault);
                for (int i = 0; i < 2; i++) {
                    String prompt = "damaged by " + fault + " at " + damaged.id() + " " + i;
                    assertExact(prompt, caller.stream(url(0), body(prompt, 60)), 60);
                    exact++;
                }
            }
        }
        assertEquals(20, exact);
    }

    /** The connection to the engine breaks during the answer: reading must resume at the first missing piece. */
    @Test
    void resumesBrokenConnection() throws Exception {
        CompletableFuture<Client.Stream> answer = streaming("broken connection", ANSWER_TOKENS);
        awaitStreams(1);
        deployment.engines().forEach(each -> each.faults().dropReaders());
        assertExact("broken connection", answer.get(), ANSWER_TOKENS);
    }

    /**
     * The engine dies during the answer: another engine must continue after the pieces that the caller has received.
     */
    @Test
    void continuesAnswerOfADeadEngine() throws Exception {
        CompletableFuture<Client.Stream> answer = streaming("dead engine", ANSWER_TOKENS);
        awaitStreams(1);
        for (EngineServer each : deployment.engines()) {
            if (each.openStreams() > 0) {
                each.close();
                break;
            }
        }
        assertExact("dead engine", answer.get(), ANSWER_TOKENS);
    }

    /** The caller disconnects during the answer: its engine must neither continue nor keep the memory. */
    @Test
    void disconnectedStreamingCallerFreesTheEngine() throws Exception {
        slowEngines(SLOWDOWN);
        caller.cancelDuringStream(url(0), body("left early", 4000));
        awaitStreams(0);
    }

    /** The same for an answer that is not streamed, where no write can fail and reveal the disconnection. */
    @Test
    void disconnectedWaitingCallerFreesTheEngine() throws Exception {
        String body = body("left a plain answer", 4000).replace("\"stream\":true", "\"stream\":false");
        slowEngines(SLOWDOWN);
        Runnable cancel = caller.sendAsync(url(0), body);
        awaitStreams(1);
        cancel.run();
        awaitStreams(0);
        slowEngines(1);
        assertEquals(200, complete(0, "after the one who left", 4).status());
    }

    /**
     * An entry dies with long answers in flight. No process cancels them: the owner must detect them once the lease of
     * the dead entry has expired, and free their memory.
     */
    @Test
    void freesEngineMemoryOfADeadEntry() throws Exception {
        slowEngines(SLOWDOWN);
        for (int i = 0; i < 3; i++) {
            streaming("orphan " + i, 4000).exceptionally(lost -> null);
        }
        awaitStreams(3);
        deployment.entries().get(0).close();
        awaitStreams(0);
    }

    /** An entry is stopped gracefully while it streams: each caller must get its whole answer. */
    @Test
    void stoppingEntryFinishesItsAnswers() throws Exception {
        CompletableFuture<Client.Stream> answer = streaming("graceful", ANSWER_TOKENS);
        awaitStreams(1);
        deployment.entries().get(0).stop();
        assertExact("graceful", answer.get(), ANSWER_TOKENS);
    }

    private CompletableFuture<Client.Stream> streaming(String prompt, int tokens) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return caller.stream(url(0), body(prompt, tokens));
            } catch (java.io.IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    /** Slows the engines down, so that no answer ends by itself while a test waits for memory to be freed. */
    private void slowEngines(double factor) {
        deployment.engines().forEach(each -> each.faults().slowdown(factor));
    }

    private void awaitStreams(int count) throws InterruptedException {
        Client.await(count + " open streams", () -> openStreams() == count);
    }

    private int openStreams() {
        return deployment.engines().stream().mapToInt(EngineServer::openStreams).sum();
    }

    private Client.Reply complete(int entry, String prompt, int tokens) throws Exception {
        return caller.post(url(entry), body(prompt, tokens).replace("\"stream\":true", "\"stream\":false"));
    }

    private static void assertExact(String prompt, Client.Stream stream, int tokens) {
        String whole = AnswerText.of(ModelName.of(LocalDeployment.MODEL), "", prompt, tokens)
                .text();
        assertEquals(whole, stream.text());
        assertTrue(stream.done(), "the end mark is missing");
    }

    private static String body(String prompt, int tokens) {
        return "{\"model\":\"%s\",\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":true}"
                .formatted(LocalDeployment.MODEL, prompt, tokens);
    }

    private String url(int entry) {
        return "http://" + deployment.entries().get(entry).callers() + "/v1/completions";
    }
}
