package org.elmline.daemon.openai;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.elmline.core.common.ModelName;
import org.elmline.wire.codec.Codecs;

/**
 * Parses request bodies of both APIs. Sampling fields are ignored, as engines choose their own; a field that changes
 * the shape of the answer and is not supported is rejected with a reason that names it.
 */
public final class CompletionReader {
    private static final ObjectMapper MAPPER = Codecs.jsonMapper();

    private CompletionReader() {}

    /** Result of parsing a body. */
    public sealed interface Result {
        /** A request that can be served. */
        record Valid(CompletionRequest request) implements Result {}

        /** The reason for rejecting the body, as sent to the caller. */
        record Invalid(String why) implements Result {}
    }

    public static Result read(ApiKind api, byte[] bytes) {
        JsonNode body;
        try {
            body = MAPPER.readTree(bytes);
        } catch (JsonProcessingException e) {
            return new Result.Invalid("the body is not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            return new Result.Invalid("the body is not JSON");
        }
        if (body == null || !body.isObject()) {
            return new Result.Invalid("the body must be a JSON object");
        }
        return read(api, body);
    }

    private static Result read(ApiKind api, JsonNode body) {
        String unsupported = unsupported(body);
        if (unsupported != null) {
            return new Result.Invalid(unsupported);
        }
        JsonNode model = body.path("model");
        if (!model.isTextual()) {
            return new Result.Invalid("model must be a string");
        }
        int maxOutputTokens = maxOutputTokens(body);
        if (maxOutputTokens < 0) {
            return new Result.Invalid("max_tokens must be a whole number of at least 1");
        }
        Prompt prompt = api.prompt(body);
        if (prompt instanceof Prompt.Invalid invalid) {
            return new Result.Invalid(invalid.why());
        }
        return request(api, body, model.textValue(), ((Prompt.Text) prompt).text(), maxOutputTokens);
    }

    private static Result request(ApiKind api, JsonNode body, String model, String prompt, int maxOutputTokens) {
        int at = model.indexOf('@');
        String name = at < 0 ? model : model.substring(0, at);
        String adapter = at < 0 ? "" : model.substring(at + 1);
        boolean usage = body.path("stream_options").path("include_usage").asBoolean(false);
        try {
            return new Result.Valid(new CompletionRequest(
                    api,
                    ModelName.of(name),
                    adapter,
                    prompt,
                    maxOutputTokens,
                    body.path("stream").asBoolean(false),
                    usage));
        } catch (IllegalArgumentException e) {
            return new Result.Invalid(e.getMessage());
        }
    }

    private static String unsupported(JsonNode body) {
        if (body.path("n").asInt(1) != 1) {
            return "n must be 1";
        }
        if (body.path("best_of").asInt(1) != 1) {
            return "best_of must be 1";
        }
        if (body.hasNonNull("tools") || body.hasNonNull("functions")) {
            return "tools are not served";
        }
        if (body.hasNonNull("stream") && !body.get("stream").isBoolean()) {
            return "stream must be true or false";
        }
        return null;
    }

    /** The requested maximum of output tokens; 0 when absent, -1 when it isn't a whole number of at least 1. */
    private static int maxOutputTokens(JsonNode body) {
        for (String field : new String[] {"max_completion_tokens", "max_tokens"}) {
            JsonNode value = body.path(field);
            if (value.isMissingNode() || value.isNull()) {
                continue;
            }
            return value.canConvertToInt() && value.isIntegralNumber() && value.intValue() >= 1 ? value.intValue() : -1;
        }
        return 0;
    }
}
