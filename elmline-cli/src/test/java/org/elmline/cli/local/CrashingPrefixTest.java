package org.elmline.cli.local;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.elmline.cli.process.Client;
import org.elmline.core.engine.PromptBlocks;
import org.elmline.standin.engine.EngineServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A prefix that several prompts share ends every engine that begins an answer to it. */
class CrashingPrefixTest {
    private static final int ENGINES = 12;

    /** Servers that may end under one request, by the users' rule. */
    private static final int MAX_ENDED_BY_ONE_PROMPT = 3;

    private static final int ANSWER_TOKENS = 200;
    private static final int BLOCK_CHARACTERS = PromptBlocks.BLOCK_TOKENS * PromptBlocks.CHARACTERS_PER_TOKEN;
    private static final String COMMON = "common ".repeat(400).substring(0, BLOCK_CHARACTERS);
    private static final String CRASHING = "crashing ".repeat(400).substring(0, BLOCK_CHARACTERS);

    private LocalDeployment deployment;
    private Client caller;

    @BeforeEach
    void start() throws Exception {
        deployment = LocalDeployment.builder()
                .entries(2)
                .engines(ENGINES)
                .keepSeconds(1)
                .start();
        caller = new Client(deployment.callerKey());
        Client.await("an answer from each entry", () -> send(0, "warm up") == 200 && send(1, "warm up") == 200);
        deployment.engines().forEach(each -> each.faults().crashOnPromptsWith("crashing"));
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    private int send(int entry, String prompt) throws Exception {
        String url = "http://" + deployment.entries().get(entry).callers() + "/v1/completions";
        String body = "{\"model\":\"%s\",\"prompt\":\"%s\",\"max_tokens\":%d}"
                .formatted(LocalDeployment.MODEL, prompt, ANSWER_TOKENS);
        return caller.post(url, body).status();
    }

    private long ended() {
        return deployment.engines().stream().filter(EngineServer::isClosed).count();
    }

    /** Guards against prompts with one prefix ending all engines, and against refusing those that share its beginning. */
    @Test
    void prefixThatEndsEnginesReachesNoMoreOfThem() throws Exception {
        List<CompletableFuture<Integer>> sound = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            String number = "call " + i;
            int entry = i % 2;
            sound.add(CompletableFuture.supplyAsync(() -> status(entry, COMMON + number)));
            send(entry, COMMON + CRASHING + number);
        }
        for (CompletableFuture<Integer> each : sound) {
            assertEquals(200, each.join());
        }
        assertTrue(ended() <= 6, "ended: " + ended());
        long before = ended();
        assertEquals(503, send(0, COMMON + CRASHING + "once more"));
        assertEquals(503, send(1, COMMON + CRASHING + "once more"));
        assertEquals(before, ended());
        assertEquals(200, send(0, COMMON + "sound"));
    }

    /** A prompt too short to share a prefix, sent again by its caller, each time as another call. */
    @Test
    void repeatedPromptEndsThreeEnginesAtMost() throws Exception {
        for (int i = 0; i < 6; i++) {
            send(i % 2, "crashing alone");
        }
        assertTrue(ended() <= MAX_ENDED_BY_ONE_PROMPT, "ended: " + ended());
        assertEquals(503, send(0, "crashing alone"));
        assertEquals(503, send(1, "crashing alone"));
        assertTrue(ended() <= MAX_ENDED_BY_ONE_PROMPT, "ended: " + ended());
        assertEquals(200, send(0, "sound"));
    }

    private int status(int entry, String prompt) {
        try {
            return send(entry, prompt);
        } catch (Exception e) {
            return 0;
        }
    }
}
