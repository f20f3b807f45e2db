package org.elmline.cli.local;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.elmline.cli.process.Client;
import org.elmline.core.common.ModelName;
import org.elmline.standin.AnswerText;
import org.elmline.standin.engine.EngineServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Prompts of more than twice one engine's KV memory, served by groups of engines. */
class LongPromptTest {
    private static final int ENGINE_KV_TOKENS = 20_000;
    private static final int PROMPT_CHARACTERS = 4 * 45_000;
    private static final int MAX_OUTPUT_TOKENS = 16;

    private LocalDeployment deployment;
    private Client caller;

    @BeforeEach
    void start() throws Exception {
        deployment = LocalDeployment.builder()
                .entries(2)
                .engines(6)
                .engineKvTokens(ENGINE_KV_TOKENS)
                .timeScale(50)
                .start();
        caller = new Client(deployment.callerKey());
        Client.await("six engines take work", () -> complete("short", 0).status() == 200 && metricsServed());
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    @Test
    void answersPromptLargerThanTwoEngines() throws Exception {
        String prompt = prompt("archive");
        assertExact(prompt, complete(prompt, 0));
        awaitAllEnginesFree();
    }

    /**
     * Two such prompts arrive at once on two entries, and the engines have memory for one group at a time. Neither may
     * hold some engines while it waits for those of the other: both must be answered, one after the other, and no
     * memory may stay reserved.
     */
    @Test
    void twoGroupsAtOnceDoNotDeadlock() throws Exception {
        List<CompletableFuture<Void>> answers = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            int entry = i;
            answers.add(CompletableFuture.runAsync(() -> {
                try {
                    String prompt = prompt("archive " + entry);
                    assertExact(prompt, complete(prompt, entry));
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            }));
        }
        for (CompletableFuture<Void> each : answers) {
            each.get();
        }
        awaitAllEnginesFree();
    }

    /**
     * One of the group's engines dies during the prefill: the caller must get an error, and every other engine must be
     * freed.
     */
    @Test
    void deadEngineFreesTheOthersOfItsGroup() throws Exception {
        deployment.engines().forEach(each -> each.faults().slowdown(50));
        CompletableFuture<Client.Reply> answer = CompletableFuture.supplyAsync(() -> {
            try {
                return complete(prompt("dies"), 0);
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        Client.await("a segment is read", () -> usedKvTokens() > ENGINE_KV_TOKENS / 4);
        EngineServer busy = deployment.engines().stream()
                .filter(each -> each.usedKvTokens() > 0)
                .findFirst()
                .orElseThrow();
        busy.close();
        Client.Reply reply = answer.get();
        assertEquals(502, reply.status(), reply.body());
        Client.await("all other engines are free", () -> deployment.engines().stream()
                .filter(each -> each != busy)
                .allMatch(each -> each.usedKvTokens() == 0));
    }

    private boolean metricsServed() throws Exception {
        String status = new Client(deployment.operatorKey())
                .get("http://" + deployment.entries().get(0).operators() + "/metrics")
                .body();
        return !status.isEmpty();
    }

    private long usedKvTokens() {
        return deployment.engines().stream()
                .mapToLong(EngineServer::usedKvTokens)
                .sum();
    }

    private void awaitAllEnginesFree() throws InterruptedException {
        Client.await("all engines are free", () -> usedKvTokens() == 0);
    }

    private Client.Reply complete(String prompt, int entry) throws Exception {
        String body = "{\"model\":\"%s\",\"prompt\":\"%s\",\"max_tokens\":%d}"
                .formatted(LocalDeployment.MODEL, prompt, MAX_OUTPUT_TOKENS);
        return caller.post("http://" + deployment.entries().get(entry).callers() + "/v1/completions", body);
    }

    private static String prompt(String name) {
        return (name + " words of a long archive ")
                .repeat(PROMPT_CHARACTERS / 26)
                .substring(0, PROMPT_CHARACTERS);
    }

    private static void assertExact(String prompt, Client.Reply reply) throws Exception {
        assertEquals(200, reply.status(), reply.body());
        String whole = AnswerText.of(ModelName.of(LocalDeployment.MODEL), "", prompt, MAX_OUTPUT_TOKENS)
                .text();
        assertEquals(whole, reply.json().path("choices").path(0).path("text").asText());
    }
}
