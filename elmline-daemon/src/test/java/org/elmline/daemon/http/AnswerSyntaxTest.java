package org.elmline.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;

class AnswerSyntaxTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
    private static final int MANY = 100_000;

    private static void check(String method, String answer, int pieceLength) throws IOException {
        AnswerSyntax syntax = new AnswerSyntax();
        syntax.expectAnswer(method);
        ByteBuffer bytes = ByteBuffer.wrap(answer.getBytes(StandardCharsets.ISO_8859_1));
        for (int from = 0; from < bytes.limit(); from += pieceLength) {
            syntax.check(bytes, from, Math.min(bytes.limit(), from + pieceLength));
        }
    }

    private static void assertAccepted(String method, String answer) {
        for (int pieceLength : new int[] {1, 2, 3, 7, answer.length()}) {
            assertDoesNotThrow(() -> check(method, answer, pieceLength), "in pieces of " + pieceLength);
        }
    }

    private static void assertRejected(String answer) {
        for (int pieceLength : new int[] {1, 2, 3, 7, answer.length()}) {
            assertThrows(IOException.class, () -> check("GET", answer, pieceLength), "in pieces of " + pieceLength);
        }
    }

    /** Guards against a check that takes content, or what follows an answer, for lines of a head. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                HEAD + "Content-Length: 4\r\n\r\n\r\n\u0001\u0000",
                HEAD + "Content-Length: 1\r\n\r\na\u0000surplus",
                HEAD + "\r\nall \u0000 until the end",
                CHUNKED + "3\r\n\r\n\u0001\r\n0A;x=y\r\n0123456789\r\n0\r\nX: a\r\n\r\n\u0000surplus",
                "HTTP/1.1 100 Continue\r\n\r\n" + HEAD + "Content-Length: 0\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
                "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n\u0000\u0001"
            })
    void acceptsAnswersInAnyPieces(String answer) {
        assertAccepted("GET", answer);
    }

    /** Guards against the length in an answer without a body that is taken for bytes to come. */
    @Test
    void answerToHeadHasNoBody() {
        assertAccepted("HEAD", HEAD + "Content-Length: 5\r\n\r\n");
        assertAccepted("HEAD", CHUNKED);
    }

    /** Guards against spoilt bytes that pass when they arrive in pieces. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\r\n" + HEAD + "\r\n",
                "HTTP/1.1 000 OK\r\n\r\n",
                "HTTP/1.1 200OK\r\n\r\n",
                HEAD + "Content-Length: 1x\r\n\r\n",
                HEAD + "Content-Length : 1\r\n\r\n",
                HEAD + "X\r\n\r\n",
                HEAD + "X: a\n\r\n",
                HEAD + "X: a\rb\r\n\r\n",
                HEAD + "X: a\u007f\r\n\r\n",
                "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nabcde",
                "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX Y: a\r\n\r\n",
                CHUNKED + "5\r\nabcdef\r\n",
                CHUNKED + "g\r\n",
                CHUNKED + "ffffffffffffffff\r\n",
                CHUNKED + "0\r\nX\r\n\r\n"
            })
    void rejectsSpoiltAnswersInAnyPieces(String answer) {
        assertRejected(answer);
    }

    /** Guards against a line without end that fills the memory. */
    @Test
    void rejectsLineWithoutEnd() {
        assertThrows(IOException.class, () -> check("GET", HEAD + "X: " + "a".repeat(MANY), MANY));
        assertThrows(IOException.class, () -> check("GET", CHUNKED + "0".repeat(MANY), MANY));
    }
}
