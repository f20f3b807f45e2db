package org.elmline.daemon.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Whole events out of bytes that come in any pieces. */
class EventScannerTest {
    private static final String STREAM =
            "id: 1\ndata: one\n\nid:2\r\ndata: two\r\n\r\ndata: without\n\nid: 10\ndata: a\nx";

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    /** However the bytes are cut, the same events come out, and half an event never does. */
    @Property(tries = 100, seed = "5")
    void cutsMakeNoDifference(@ForAll @IntRange(min = 1, max = 9) int size) {
        ServerSentEventParser scanner = new ServerSentEventParser();
        List<Long> ids = new ArrayList<>();
        ByteArrayOutputStream passed = new ByteArrayOutputStream();
        for (int i = 0; i < STREAM.length(); i += size) {
            for (ServerSentEventParser.Event each :
                    scanner.parse(bytes(STREAM.substring(i, Math.min(STREAM.length(), i + size))))) {
                ids.add(each.id());
                passed.writeBytes(each.bytes());
            }
        }
        assertEquals(List.of(1L, 2L, ServerSentEventParser.NO_ID), ids);
        assertEquals(STREAM.substring(0, STREAM.indexOf("id: 10")), passed.toString());
        assertTrue(scanner.hasPartialEvent());
    }

    @Test
    void whatWasBrokenOffIsForgotten() {
        ServerSentEventParser scanner = new ServerSentEventParser();
        scanner.parse(bytes("id: 3\ndata: pie"));
        scanner.reset();
        assertFalse(scanner.hasPartialEvent());
        assertEquals(3, scanner.parse(bytes("id: 3\ndata: piece\n\n")).get(0).id());
    }
}
