package org.elmline.daemon.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a stream of server-sent events into whole events. What a server sends last may be half an event; passed on, it
 * could not be taken back when another server goes on with that event from its beginning.
 */
final class ServerSentEventParser {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    /** Longest event that is held; a server that never ends one is broken. */
    private static final int MAX_EVENT_BYTES = 4 * 1024 * 1024;

    private final ByteArrayOutputStream event = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private long id = NO_ID;
    private boolean hasContent;

    static final long NO_ID = -1;

    /**
     * One whole event.
     *
     * @param id its number, {@link #NO_ID} without one
     */
    record Event(byte[] bytes, long id) {}

    /** Takes bytes and returns the events that they complete. Throws IllegalStateException on an endless event. */
    List<Event> parse(ByteBuffer bytes) {
        List<Event> events = new ArrayList<>();
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            event.write(next);
            if (next != '\n') {
                line.write(next);
                continue;
            }
            if (finishLine()) {
                events.add(new Event(event.toByteArray(), id));
                event.reset();
                id = NO_ID;
                hasContent = false;
            }
        }
        if (event.size() > MAX_EVENT_BYTES) {
            throw new IllegalStateException("an event of over " + MAX_EVENT_BYTES + " bytes");
        }
        return events;
    }

    /** Whether bytes of an event that isn't complete are held. */
    boolean hasPartialEvent() {
        return event.size() > 0;
    }

    /** Drops an event that will not be completed. */
    void reset() {
        event.reset();
        line.reset();
        id = NO_ID;
        hasContent = false;
    }

    /** Returns whether the line ends an event. */
    private boolean finishLine() {
        byte[] lineBytes = line.toByteArray();
        line.reset();
        boolean empty = lineBytes.length == 0 || (lineBytes.length == 1 && lineBytes[0] == '\r');
        if (empty) {
            return hasContent;
        }
        hasContent = true;
        if (startsWithId(lineBytes)) {
            id = parseId(lineBytes);
        }
        return false;
    }

    private static boolean startsWithId(byte[] text) {
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (text.length <= i || text[i] != ID_FIELD[i]) {
                return false;
            }
        }
        return true;
    }

    private static long parseId(byte[] text) {
        String value = new String(text, ID_FIELD.length, text.length - ID_FIELD.length, StandardCharsets.UTF_8).trim();
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            return NO_ID;
        }
    }
}
