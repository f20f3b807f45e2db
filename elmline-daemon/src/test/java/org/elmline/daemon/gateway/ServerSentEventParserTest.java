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

/** Complete events out of bytes that arrive in pieces of any size. */
class ServerSentEventParserTest {
    private static final String STREAM =
            "id: 1\ndata: one\n\nid:2\r\ndata: two\r\n\r\ndata: without\n\nid: 10\ndata: a\nx";

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    /** The same events result from pieces of any size, and a partial event is never returned. */
    @Property(tries = 100, seed = "5")
    void returnsSameEventsForAnyPieceSize(@ForAll @IntRange(min = 1, max = 9) int pieceSize) {
        ServerSentEventParser parser = new ServerSentEventParser();
        List<Long> ids = new ArrayList<>();
        ByteArrayOutputStream forwarded = new ByteArrayOutputStream();
        for (int i = 0; i < STREAM.length(); i += pieceSize) {
            for (ServerSentEventParser.Event each :
                    parser.parse(bytes(STREAM.substring(i, Math.min(STREAM.length(), i + pieceSize))))) {
                ids.add(each.id());
                forwarded.writeBytes(each.bytes());
            }
        }
        assertEquals(List.of(1L, 2L, ServerSentEventParser.NO_ID), ids);
        assertEquals(STREAM.substring(0, STREAM.indexOf("id: 10")), forwarded.toString());
        assertTrue(parser.hasPartialEvent());
    }

    @Test
    void resetDiscardsPartialEvent() {
        ServerSentEventParser parser = new ServerSentEventParser();
        parser.parse(bytes("id: 3\ndata: pie"));
        parser.reset();
        assertFalse(parser.hasPartialEvent());
        assertEquals(3, parser.parse(bytes("id: 3\ndata: piece\n\n")).get(0).id());
    }
}
