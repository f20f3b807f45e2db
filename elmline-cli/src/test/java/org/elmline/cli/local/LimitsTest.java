package org.elmline.cli.local;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.elmline.cli.process.Client;
import org.elmline.daemon.http.BearerKey;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** An organisation's limit holds over all entries together. */
class LimitsTest {
    private static final String KEY = "key-of-a-limited-organisation";
    private static final int MAX_CONCURRENT_REQUESTS = 4;

    private LocalDeployment deployment;

    @BeforeEach
    void start() throws Exception {
        deployment = LocalDeployment.builder().entries(3).engines(2).start();
        String ticket =
                """
                {"author":"tests","objects":[{"kind":"organisation","id":"limited","weight":1,"priority":1,
                 "keyHashes":["%s"],"maxConcurrentRequests":%d,"maxTokensPerMinute":0,"removed":false}]}
                """
                        .formatted(BearerKey.hash(KEY), MAX_CONCURRENT_REQUESTS);
        Client operator = new Client(deployment.operatorKey());
        String url = "http://" + deployment.entries().get(0).operators() + "/v1/tickets/2";
        assertEquals(200, operator.put(url, ticket).status());
        Client.await("in force", () -> operator.get(url).json().path("inForce").asBoolean());
        for (int i = 0; i < 3; i++) {
            int entry = i;
            Client.await("entry " + i + " answers", () -> complete(entry, 1).status() == 200);
        }
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    /** Twelve requests at once over three entries under a limit of four: never more than four may run at once. */
    @Test
    void concurrentRequestsStayUnderTheLimitOverAllEntries() throws Exception {
        List<CompletableFuture<Client.Reply>> replies = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            int entry = i % 3;
            replies.add(CompletableFuture.supplyAsync(() -> {
                try {
                    return complete(entry, 200);
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            }));
        }
        int most = 0;
        while (replies.stream().anyMatch(each -> !each.isDone())) {
            most = Math.max(
                    most,
                    deployment.engines().stream()
                            .mapToInt(each -> each.openStreams())
                            .sum());
            Thread.sleep(5);
        }
        int served = 0;
        for (CompletableFuture<Client.Reply> each : replies) {
            int status = each.get().status();
            assertTrue(status == 200 || status == 429, each.get().toString());
            served += status == 200 ? 1 : 0;
        }
        assertTrue(most <= MAX_CONCURRENT_REQUESTS, most + " ran at once");
        assertTrue(served >= 1, "none was served");
    }

    private Client.Reply complete(int entry, int tokens) throws Exception {
        String body = "{\"model\":\"elm-small\",\"prompt\":\"limited %d\",\"max_tokens\":%d}".formatted(tokens, tokens);
        return new Client(KEY).post("http://" + deployment.entries().get(entry).callers() + "/v1/completions", body);
    }
}
