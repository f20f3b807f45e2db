package org.elmline.daemon.openai;

import com.fasterxml.jackson.databind.JsonNode;

/** Renders the messages of a chat as one text: a line with the role, then the content, for each message in order. */
final class ChatPrompt {
    private ChatPrompt() {}

    static Prompt of(JsonNode messages) {
        if (!messages.isArray() || messages.isEmpty()) {
            return new Prompt.Invalid("messages must be a list with at least one message");
        }
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < messages.size(); i++) {
            JsonNode message = messages.get(i);
            if (!message.path("role").isTextual()) {
                return new Prompt.Invalid("messages[" + i + "].role must be a string");
            }
            text.append(message.get("role").textValue()).append(":\n");
            if (!append(message.path("content"), text)) {
                return new Prompt.Invalid("messages[" + i + "].content must be a string or a list of text parts");
            }
            text.append('\n');
        }
        return new Prompt.Text(text.toString());
    }

    private static boolean append(JsonNode content, StringBuilder text) {
        if (content.isTextual()) {
            text.append(content.textValue());
            return true;
        }
        if (!content.isArray()) {
            return false;
        }
        for (JsonNode part : content) {
            if (!part.path("text").isTextual()) {
                return false;
            }
            text.append(part.get("text").textValue());
        }
        return true;
    }
}
