package org.elmline.cli.local;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.elmline.cli.process.Client;
import org.elmline.core.common.ModelName;
import org.elmline.standin.AnswerText;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Prompts of very different lengths on the same engine, end to end. */
class MixedPromptLengthsTest {
    private static final int LONG_TOKENS = 200_000;

    /**
     * The only engine has begun the prefill of a very long prompt when a short one arrives. The short one must be
     * answered during that prefill, since the engine is requested to serve the shorter prompt first; without that it
     * would wait for the whole prefill, and the long prompt would be answered first.
     */
    @Test
    void answersShortPromptDuringALongPrefill() throws Exception {
        try (LocalDeployment deployment =
                LocalDeployment.builder().engines(1).timeScale(2).start()) {
            Client caller = new Client(deployment.callerKey());
            String url = "http://" + deployment.entries().get(0).callers() + "/v1/completions";
            Client.await("an answer", () -> caller.post(url, body("warm up", 1)).status() == 200);
            String longPrompt = "archive ".repeat(LONG_TOKENS / 2);
            CompletableFuture<Client.Reply> longAnswer =
                    CompletableFuture.supplyAsync(() -> post(caller, url, longPrompt, 1));
            Client.await("the read to begin", () -> deployment.engines().get(0).openStreams() == 1);
            Client.Reply shortAnswer = post(caller, url, "Is the trail open?", 20);
            assertFalse(longAnswer.isDone(), "the question waited for the read");
            assertExact("Is the trail open?", 20, shortAnswer);
            assertExact(longPrompt, 1, longAnswer.get(60, TimeUnit.SECONDS));
        }
    }

    private static void assertExact(String prompt, int tokens, Client.Reply reply) throws IOException {
        assertEquals(200, reply.status(), reply.body());
        String text = reply.json().path("choices").path(0).path("text").asText();
        assertEquals(
                AnswerText.of(ModelName.of(LocalDeployment.MODEL), "", prompt, tokens)
                        .text(),
                text);
        assertTrue(text.length() > 1);
    }

    private static Client.Reply post(Client caller, String url, String prompt, int tokens) {
        try {
            return caller.post(url, body(prompt, tokens));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String body(String prompt, int tokens) {
        return "{\"model\":\"%s\",\"prompt\":\"%s\",\"max_tokens\":%d}"
                .formatted(LocalDeployment.MODEL, prompt, tokens);
    }
}
