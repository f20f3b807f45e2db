package org.elmline.wire.codec;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reads JSON documents with varying fields as trees. Jackson's {@code ObjectMapper} can do the same, but creating one
 * loads the date formats of all languages, which these documents don't need and which delays the start of a process.
 * Safe for use by many threads.
 */
public final class JsonTreeReader {
    /**
     * Valid documents are less deep. The bound keeps a document from overflowing the stack of the thread that reads it.
     */
    private static final int MAX_DEPTH = 64;

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private final JsonFactory factory;

    private JsonTreeReader(JsonFactory factory) {
        this.factory = factory.setStreamReadConstraints(StreamReadConstraints.builder()
                .maxNestingDepth(MAX_DEPTH)
                .maxStringLength(Codecs.MAX_STRING_CHARS)
                .build());
    }

    /** Creates a reader that keeps the last of several fields with the same name. */
    public static JsonTreeReader lenient() {
        return new JsonTreeReader(new JsonFactory());
    }

    /** Creates a reader that rejects a document with two fields of the same name in one object. */
    public static JsonTreeReader strict() {
        return new JsonTreeReader(new JsonFactory().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION));
    }

    /** Reads one document. Throws {@link IOException} when the bytes are not JSON or go on after the document. */
    public JsonNode read(byte[] document) throws IOException {
        try (JsonParser from = factory.createParser(document)) {
            from.nextToken();
            JsonNode tree = node(from);
            if (from.nextToken() != null) {
                throw new JsonParseException(from, "something follows the document");
            }
            return tree;
        }
    }

    private static JsonNode node(JsonParser from) throws IOException {
        if (from.currentToken() == null) {
            throw new JsonParseException(from, "the document is empty");
        }
        return switch (from.currentToken()) {
            case START_OBJECT -> object(from);
            case START_ARRAY -> array(from);
            case VALUE_STRING -> NODES.textNode(from.getText());
            case VALUE_NUMBER_INT -> integer(from);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(from.getDoubleValue());
            case VALUE_TRUE, VALUE_FALSE -> NODES.booleanNode(from.getBooleanValue());
            default -> NODES.nullNode();
        };
    }

    private static JsonNode integer(JsonParser from) throws IOException {
        return from.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                ? NODES.numberNode(from.getBigIntegerValue())
                : NODES.numberNode(from.getLongValue());
    }

    private static ObjectNode object(JsonParser from) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (from.nextToken() != JsonToken.END_OBJECT) {
            String name = from.currentName();
            from.nextToken();
            object.set(name, node(from));
        }
        return object;
    }

    private static ArrayNode array(JsonParser from) throws IOException {
        ArrayNode array = NODES.arrayNode();
        while (from.nextToken() != JsonToken.END_ARRAY) {
            array.add(node(from));
        }
        return array;
    }
}
