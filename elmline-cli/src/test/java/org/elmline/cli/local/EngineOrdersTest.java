package org.elmline.cli.local;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import org.elmline.cli.process.Client;
import org.elmline.standin.engine.EngineServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A ticket changes the version that two engines serve, one of which ignores fencing numbers. */
class EngineOrdersTest {
    private LocalDeployment deployment;

    @BeforeEach
    void start() throws Exception {
        deployment = LocalDeployment.builder()
                .engines(2)
                .enginesWithoutFencing(1)
                .timeScale(20)
                .start();
        Client caller = new Client(deployment.callerKey());
        String url = "http://" + deployment.entries().get(0).callers() + "/v1/completions";
        Client.await(
                "an answer",
                () -> caller.post(url, "{\"model\":\"elm-small\",\"prompt\":\"x\",\"max_tokens\":1}")
                                .status()
                        == 200);
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    /**
     * Both engines are to serve version 2 and one must stay ready: they must load it one after the other, with callers
     * served throughout.
     */
    @Test
    void enginesLoadNewVersionOneAfterTheOther() throws Exception {
        String ticket =
                """
                {"author":"tests","objects":[
                 {"kind":"model","name":"elm-small","version":"2","adapters":[],"maxPromptTokens":1000000,
                  "maxOutputTokens":4096,"minReadyReplicas":1,"removed":false},
                 {"kind":"backend-role","server":"engine-1","model":"elm-small","version":"2","checksFencing":true},
                 {"kind":"backend-role","server":"engine-2","model":"elm-small","version":"2","role":"long","checksFencing":false}]}
                """;
        Client operator = new Client(deployment.operatorKey());
        String url = "http://" + deployment.entries().get(0).operators() + "/v1/tickets/2";
        assertEquals(200, operator.put(url, ticket).status());
        AtomicBoolean everUnavailable = new AtomicBoolean();
        Client.await("both serve version 2", () -> {
            List<EngineServer> engines = deployment.engines();
            everUnavailable.compareAndSet(
                    false, engines.stream().noneMatch(each -> each.state().ready()));
            return engines.stream()
                    .allMatch(each ->
                            each.state().ready() && each.state().version().equals("2"));
        });
        assertEquals("long", deployment.engines().get(1).state().role());
        assertTrue(!everUnavailable.get(), "no engine was ready for a moment");
    }
}
