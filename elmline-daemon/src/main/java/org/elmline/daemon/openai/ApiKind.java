package org.elmline.daemon.openai;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The two completion APIs. They differ in the field that holds the prompt and in the shape of a choice. */
public enum ApiKind {
    COMPLETIONS("cmpl-", "text_completion", "text_completion") {
        @Override
        Prompt prompt(JsonNode body) {
            JsonNode prompt = body.path("prompt");
            if (prompt.isTextual()) {
                return new Prompt.Text(prompt.textValue());
            }
            if (prompt.isArray() && prompt.size() == 1 && prompt.get(0).isTextual()) {
                return new Prompt.Text(prompt.get(0).textValue());
            }
            return new Prompt.Invalid("prompt must be a string");
        }

        @Override
        ObjectNode piece(String text, boolean first) {
            return JsonNodeFactory.instance.objectNode().put("text", text);
        }

        @Override
        ObjectNode whole(String text) {
            return piece(text, false);
        }
    },
    CHAT("chatcmpl-", "chat.completion", "chat.completion.chunk") {
        @Override
        Prompt prompt(JsonNode body) {
            return ChatPrompt.of(body.path("messages"));
        }

        @Override
        ObjectNode piece(String text, boolean first) {
            ObjectNode delta = JsonNodeFactory.instance.objectNode();
            if (first) {
                delta.put("role", "assistant");
            }
            if (text != null && !text.isEmpty()) {
                delta.put("content", text);
            }
            ObjectNode choice = JsonNodeFactory.instance.objectNode();
            choice.set("delta", delta);
            return choice;
        }

        @Override
        ObjectNode whole(String text) {
            ObjectNode message = JsonNodeFactory.instance.objectNode();
            message.put("role", "assistant").put("content", text);
            ObjectNode choice = JsonNodeFactory.instance.objectNode();
            choice.set("message", message);
            return choice;
        }
    };

    private final String idPrefix;
    private final String wholeObject;
    private final String pieceObject;

    ApiKind(String idPrefix, String wholeObject, String pieceObject) {
        this.idPrefix = idPrefix;
        this.wholeObject = wholeObject;
        this.pieceObject = pieceObject;
    }

    String idPrefix() {
        return idPrefix;
    }

    String wholeObject() {
        return wholeObject;
    }

    String pieceObject() {
        return pieceObject;
    }

    abstract Prompt prompt(JsonNode body);

    /** One choice of a streamed piece, without index and finish reason. */
    abstract ObjectNode piece(String text, boolean first);

    /** One choice of a whole answer, without index and finish reason. */
    abstract ObjectNode whole(String text);
}
