package org.elmline.daemon.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits a byte stream of server-sent events into complete events. A server's last bytes may be a partial event; had it
 * been forwarded, it could not be withdrawn when another server resumes with that event from its start. Not safe for
 * use by several threads.
 *
 * <p>Lines end with LF or CRLF. An id that is not a whole number counts as none. What carries neither an id nor data,
 * such as comments, is no event: it is returned with the event after it, so that a server which sends nothing else
 * counts as silent.
 */
final class ServerSentEventParser {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte COMMENT = ':';
    private static final byte[] DATA_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);

    /** Longest event that is buffered, with all before it; a server that does not end its event by then is broken. */
    private static final int MAX_EVENT_BYTES = 1024 * 1024;

    private final ByteArrayOutputStream event = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private long id = NO_ID;
    private boolean hasContent;
    private boolean amidEvent;

    static final long NO_ID = -1;

    /**
     * One complete event.
     *
     * @param id its id, {@link #NO_ID} without one
     */
    record Event(byte[] bytes, long id) {}

    /**
     * Consumes bytes and returns the events that they complete. Throws IllegalStateException when more than
     * {@link #MAX_EVENT_BYTES} of an incomplete event are buffered.
     */
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
            throw new IllegalStateException("server-sent event exceeds " + MAX_EVENT_BYTES + " bytes");
        }
        return events;
    }

    /** Whether bytes of an incomplete event are buffered. */
    boolean hasPartialEvent() {
        return amidEvent || line.size() > 0;
    }

    /** What followed the last event without being one, such as comments. */
    byte[] rest() {
        return event.toByteArray();
    }

    /** Bytes of an incomplete event that are held: the event, and its last line once more. */
    int heldBytes() {
        return event.size() + line.size();
    }

    /** Discards a partial event that will not be completed. */
    void reset() {
        event.reset();
        line.reset();
        id = NO_ID;
        hasContent = false;
        amidEvent = false;
    }

    /** Returns whether the line ends an event. */
    private boolean finishLine() {
        byte[] lineBytes = line.toByteArray();
        line.reset();
        boolean empty = lineBytes.length == 0 || (lineBytes.length == 1 && lineBytes[0] == '\r');
        if (empty) {
            amidEvent = false;
            return hasContent;
        }
        amidEvent |= lineBytes[0] != COMMENT;
        if (startsWith(lineBytes, ID_FIELD)) {
            id = parseId(lineBytes);
            hasContent |= id != NO_ID;
        }
        hasContent |= startsWith(lineBytes, DATA_FIELD) && !isBlank(lineBytes, DATA_FIELD.length);
        return false;
    }

    private static boolean startsWith(byte[] text, byte[] field) {
        return text.length >= field.length && Arrays.equals(text, 0, field.length, field, 0, field.length);
    }

    /** Whether a value is empty but for the space after the colon and the end of the line. */
    private static boolean isBlank(byte[] text, int from) {
        String value = new String(text, from, text.length - from, StandardCharsets.UTF_8);
        return value.isEmpty() || value.equals(" ") || value.equals("\r") || value.equals(" \r");
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
