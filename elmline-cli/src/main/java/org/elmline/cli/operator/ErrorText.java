package org.elmline.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;

/** Formats the message of an error body for people. */
final class ErrorText {
    private ErrorText() {}

    static String of(JsonNode body) {
        JsonNode error = body.path("error");
        if (error.path("message").isTextual()) {
            return error.path("type").asText() + ": " + error.path("message").asText();
        }
        if (error.isTextual()) {
            return error.asText();
        }
        return body.toString();
    }
}
