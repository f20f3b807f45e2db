package org.elmline.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Checks the bytes of HTTP/1.1 answers on one connection, as they are read from it, against the syntax of status lines,
 * fields and chunks (RFC 9112). HTTP clients skip or repair what breaks it: they would take a body of another length for a
 * whole one, and pass on lines that are no fields. Not thread-safe.
 */
public final class AnswerSyntax {
    /** Longest line in bytes. */
    private static final int MAX_LINE_BYTES = 64 * 1024;

    private static final int INITIAL_LINE_BYTES = 256;
    private static final int MAX_KEPT_LINE_BYTES = 1_024;
    private static final String HTTP_1_0 = "HTTP/1.0";
    private static final String HTTP_1_1 = "HTTP/1.1";
    private static final int STATUS_START = HTTP_1_1.length() + 1;
    private static final int STATUS_END = STATUS_START + 3;
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int MIN_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int MAX_LENGTH_DIGITS = 18;
    private static final long MAX_CHUNK_BYTES = Long.MAX_VALUE / 16;
    private static final long UNTIL_CLOSE = -1;

    /** What the next bytes belong to. */
    private enum Part {
        STATUS_LINE,
        FIELD,
        CONTENT,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        /** Bytes after the end of an answer; they are no part of it. */
        SURPLUS
    }

    private byte[] line = new byte[INITIAL_LINE_BYTES];
    private int lineLength;
    private Part part = Part.SURPLUS;
    private boolean surplus;
    private boolean headOnly;
    private boolean oldProtocol;
    private int status;
    private long contentLength;
    private boolean chunked;
    /** Bytes of content or chunk that are still due; {@link #UNTIL_CLOSE} for an answer without a length. */
    private long remaining;

    /**
     * Expects a new answer, as a request is sent.
     *
     * @param method the method of the request; the answer to HEAD has no body
     */
    public void expectAnswer(String method) {
        headOnly = method.equals("HEAD");
        startHead();
    }

    /** Whether bytes have been read that belong to no answer; a client may keep them for the next one. */
    boolean hasSurplus() {
        return surplus;
    }

    private void startHead() {
        part = Part.STATUS_LINE;
        lineLength = 0;
        contentLength = UNTIL_CLOSE;
        chunked = false;
    }

    /**
     * Checks the next bytes that were read, those between two indexes of a buffer, whose position stays.
     *
     * @throws IOException if they break the syntax; the connection must not be used any more
     */
    public void check(ByteBuffer bytes, int from, int to) throws IOException {
        int at = from;
        while (at < to) {
            if (part == Part.SURPLUS) {
                surplus = true;
                return;
            }
            if (part == Part.CONTENT || part == Part.CHUNK) {
                at = skip(at, to);
            } else {
                readLineByte(bytes.get(at));
                at++;
            }
        }
    }

    private int skip(int from, int to) {
        if (remaining == UNTIL_CLOSE) {
            return to;
        }
        long skipped = Math.min(remaining, to - from);
        remaining -= skipped;
        if (remaining == 0) {
            part = part == Part.CHUNK ? Part.CHUNK_END : Part.SURPLUS;
        }
        return from + (int) skipped;
    }

    private void readLineByte(byte next) throws IOException {
        if (lineLength > 0 && line[lineLength - 1] == '\r') {
            if (next != '\n') {
                throw malformed("a carriage return within a line");
            }
            lineLength--;
            endLine();
            return;
        }
        if (next != '\r' && isControl(next)) {
            throw malformed("a control byte");
        }
        if (lineLength == MAX_LINE_BYTES) {
            throw malformed("a line of over " + MAX_LINE_BYTES + " bytes");
        }
        append(next);
    }

    private static boolean isControl(byte value) {
        return value >= 0 && value < ' ' && value != '\t' || value == 0x7f;
    }

    private void append(byte next) {
        if (lineLength == line.length) {
            byte[] longer = new byte[2 * line.length];
            System.arraycopy(line, 0, longer, 0, lineLength);
            line = longer;
        }
        line[lineLength] = next;
        lineLength++;
    }

    private void endLine() throws IOException {
        String text = new String(line, 0, lineLength, StandardCharsets.ISO_8859_1);
        lineLength = 0;
        if (line.length > MAX_KEPT_LINE_BYTES) {
            // An idle connection would keep the room for its longest line.
            line = new byte[INITIAL_LINE_BYTES];
        }
        switch (part) {
            case STATUS_LINE -> readStatusLine(text);
            case FIELD -> readField(text);
            case CHUNK_SIZE -> readChunkSize(text);
            case CHUNK_END -> readChunkEnd(text);
            case TRAILER -> readTrailer(text);
            default -> throw new IllegalStateException("no line in " + part);
        }
    }

    private void readStatusLine(String text) throws IOException {
        oldProtocol = text.startsWith(HTTP_1_0 + " ");
        boolean hasProtocol = oldProtocol || text.startsWith(HTTP_1_1 + " ");
        boolean hasStatus = text.length() == STATUS_END || text.length() > STATUS_END && text.charAt(STATUS_END) == ' ';
        if (!hasProtocol || !hasStatus || !isDigits(text, STATUS_START, STATUS_END)) {
            throw malformed("a status line");
        }
        status = Integer.parseInt(text.substring(STATUS_START, STATUS_END));
        if (status < MIN_STATUS || status > MAX_STATUS) {
            throw malformed("status " + text.substring(STATUS_START, STATUS_END));
        }
        part = Part.FIELD;
    }

    private static boolean isDigits(String text, int from, int to) {
        for (int i = from; i < to; i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return to > from;
    }

    private void readField(String text) throws IOException {
        if (text.isEmpty()) {
            endHead();
            return;
        }
        int colon = nameLength(text);
        String name = text.substring(0, colon);
        String value = text.substring(colon + 1).trim();
        if (name.equalsIgnoreCase("Content-Length")) {
            readContentLength(value);
        } else if (name.equalsIgnoreCase("Transfer-Encoding")) {
            readTransferEncoding(value);
        }
    }

    /** Length of the name that a field begins with. */
    private static int nameLength(String field) throws IOException {
        int at = 0;
        while (at < field.length() && isTokenCharacter(field.charAt(at))) {
            at++;
        }
        if (at == 0 || at == field.length() || field.charAt(at) != ':') {
            throw malformed("a line that is no field");
        }
        return at;
    }

    private static boolean isTokenCharacter(char value) {
        return value >= 'a' && value <= 'z'
                || value >= 'A' && value <= 'Z'
                || value >= '0' && value <= '9'
                || "!#$%&'*+-.^_`|~".indexOf(value) >= 0;
    }

    private void readContentLength(String value) throws IOException {
        if (contentLength != UNTIL_CLOSE || value.length() > MAX_LENGTH_DIGITS || !isDigits(value, 0, value.length())) {
            throw malformed("a Content-Length");
        }
        contentLength = Long.parseLong(value);
    }

    private void readTransferEncoding(String value) throws IOException {
        if (chunked || oldProtocol || !value.equalsIgnoreCase("chunked")) {
            throw malformed("a Transfer-Encoding");
        }
        chunked = true;
    }

    private void endHead() throws IOException {
        if (chunked && contentLength != UNTIL_CLOSE) {
            throw malformed("both Content-Length and Transfer-Encoding");
        }
        if (status < MIN_FINAL_STATUS && status != SWITCHING_PROTOCOLS) {
            checkHasNoBody();
            startHead();
        } else if (status == NO_CONTENT) {
            checkHasNoBody();
            part = Part.SURPLUS;
        } else if (headOnly || status == NOT_MODIFIED || contentLength == 0) {
            part = Part.SURPLUS;
        } else {
            remaining = contentLength;
            part = chunked ? Part.CHUNK_SIZE : Part.CONTENT;
        }
    }

    private void checkHasNoBody() throws IOException {
        if (chunked || contentLength > 0) {
            throw malformed("a body with status " + status);
        }
    }

    private void readChunkSize(String text) throws IOException {
        long size = 0;
        int at = 0;
        while (at < text.length() && Character.digit(text.charAt(at), 16) >= 0) {
            if (size > MAX_CHUNK_BYTES) {
                throw malformed("the size of a chunk");
            }
            size = 16 * size + Character.digit(text.charAt(at), 16);
            at++;
        }
        if (at == 0 || at < text.length() && text.charAt(at) != ';') {
            throw malformed("the size of a chunk");
        }
        remaining = size;
        part = size == 0 ? Part.TRAILER : Part.CHUNK;
    }

    private void readChunkEnd(String text) throws IOException {
        if (!text.isEmpty()) {
            throw malformed("the end of a chunk");
        }
        part = Part.CHUNK_SIZE;
    }

    private void readTrailer(String text) throws IOException {
        if (text.isEmpty()) {
            part = Part.SURPLUS;
        } else {
            nameLength(text);
        }
    }

    private static IOException malformed(String what) {
        return new IOException("malformed answer: " + what);
    }
}
