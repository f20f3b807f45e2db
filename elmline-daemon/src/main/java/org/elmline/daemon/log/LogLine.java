package org.elmline.daemon.log;

/** Builder of one log line. Not safe for concurrent use. */
public final class LogLine {
    private static final char FIRST_PRINTABLE_CHAR = 0x20;

    private final DecisionLog log;
    private final String event;
    private final StringBuilder text;

    LogLine(DecisionLog log, String event, StringBuilder text) {
        this.log = log;
        this.event = event;
        this.text = text;
    }

    /** Adds a string field; a null value is left out. */
    public LogLine with(String field, Object value) {
        if (value == null) {
            return this;
        }
        appendName(field).append('"');
        appendEscaped(value.toString());
        text.append('"');
        return this;
    }

    public LogLine with(String field, long value) {
        appendName(field).append(value);
        return this;
    }

    public LogLine with(String field, boolean value) {
        appendName(field).append(value);
        return this;
    }

    private StringBuilder appendName(String field) {
        return text.append(",\"").append(field).append("\":");
    }

    private void appendEscaped(String value) {
        for (int i = 0; i < value.length(); i++) {
            char each = value.charAt(i);
            if (each == '"' || each == '\\') {
                text.append('\\').append(each);
            } else if (each < FIRST_PRINTABLE_CHAR) {
                text.append(String.format("\\u%04x", (int) each));
            } else {
                text.append(each);
            }
        }
    }

    /** Queues the line for the log's writer thread; it may be dropped, see {@link DecisionLog}. */
    public void write() {
        text.append("}\n");
        log.submit(event, text.toString());
    }

    /**
     * Queues the line of a request's success for the log's writer thread, unless it is sampled out. Returns whether it
     * was accepted.
     */
    boolean writeSampled(String request) {
        return log.submitSampled(event, text + "}\n", request);
    }
}
