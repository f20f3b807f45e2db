package org.elmline.wire.codec;

import java.io.IOException;
import java.util.SplittableRandom;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

class JsonTreeReaderTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Property(tries = 300)
    void readsTheSameTreeAsTheMapper(@ForAll long seed) throws IOException {
        byte[] document = MAPPER.writeValueAsBytes(random(new SplittableRandom(seed), 5));
        String expected = MAPPER.readTree(document).toString();
        assertEquals(expected, JsonTreeReader.strict().read(document).toString());
        assertEquals(expected, JsonTreeReader.lenient().read(document).toString());
    }

    @Test
    void rejectsInvalidDocuments() {
        String[] faulty = {"", "{", "[1", "{\"a\":1}{}", "{\"a\" 1}", "tru", "[".repeat(100) + "]".repeat(100)};
        for (String each : faulty) {
            assertThrows(IOException.class, () -> JsonTreeReader.lenient().read(each.getBytes()), each);
        }
    }

    @Test
    void onlyTheStrictReaderRejectsDuplicateFields() throws IOException {
        byte[] twice = "{\"a\":1,\"a\":2}".getBytes();
        assertThrows(IOException.class, () -> JsonTreeReader.strict().read(twice));
        assertEquals(2, JsonTreeReader.lenient().read(twice).path("a").asInt());
    }

    private static JsonNode random(SplittableRandom random, int depth) {
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        switch (random.nextInt(depth > 0 ? 8 : 6)) {
            case 0:
                return nodes.numberNode(random.nextLong());
            case 1:
                return nodes.numberNode(random.nextDouble());
            case 2:
                return nodes.booleanNode(random.nextBoolean());
            case 3:
                return nodes.nullNode();
            case 4:
                return nodes.numberNode(random.nextInt(100));
            case 5:
                return nodes.textNode("t\u20ac\"".repeat(random.nextInt(4)));
            case 6:
                ObjectNode object = nodes.objectNode();
                for (int i = random.nextInt(5); i > 0; i--) {
                    object.set("f" + i, random(random, depth - 1));
                }
                return object;
            default:
                ArrayNode array = nodes.arrayNode();
                for (int i = random.nextInt(5); i > 0; i--) {
                    array.add(random(random, depth - 1));
                }
                return array;
        }
    }
}
