package org.elmline.cli.process;

import org.elmline.daemon.http.BearerKey;

/** Request bodies of process tests. */
final class RequestBodies {
    private RequestBodies() {}

    /**
     * A ticket that creates model {@code elm-small}, service {@code booking} and one organisation with the given key.
     */
    static String firstTicket(String callerKey) {
        return """
                {"author":"tests","objects":[
                 {"kind":"model","name":"elm-small","version":"1","adapters":[],"maxPromptTokens":1000000,
                  "maxOutputTokens":4096,"minReadyReplicas":1,"removed":false},
                 {"kind":"service","name":"booking","idempotentMethods":["GET"],"timeoutMillis":10000,"removed":false},
                 {"kind":"organisation","id":"guides","weight":1,"priority":1,"keyHashes":["%s"],
                  "maxConcurrentRequests":0,"maxTokensPerMinute":0,"removed":false}]}
                """
                .formatted(BearerKey.hash(callerKey));
    }

    static String completion(String text, boolean stream) {
        return "{\"model\":\"elm-small\",\"prompt\":\"%s\",\"max_tokens\":64,\"stream\":%s}".formatted(text, stream);
    }
}
