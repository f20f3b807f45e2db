package org.elmline.daemon.service;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import org.elmline.core.common.CallResult;
import org.elmline.core.control.RecordedAnswer;
import org.elmline.daemon.http.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ServiceClientTest {
    private static final String SUCCESS = "HTTP/1.1 200 OK\r\n";
    private static final String WHOLE = SUCCESS + "Content-Length: 5\r\n\r\nwhole";
    private static final String CHUNKED = SUCCESS + "Transfer-Encoding: chunked\r\n\r\n";
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /** More than the sockets of client and server hold. */
    private static final int LONG_BODY_BYTES = 12_000_000;

    /** The longest answer that is kept, and what both sockets hold. */
    private static final long MAX_SENT_BYTES = 32L << 20;

    private static CallResult<RecordedAnswer> send(String answer, RawServer.End end, int bodyBytes) throws Exception {
        try (RawServer server = new RawServer(answer, end);
                ServiceClient client = new ServiceClient()) {
            ServiceCall call = new ServiceCall("POST", "seats", List.of(), new byte[bodyBytes]);
            return client.send(server.address(), call, TIMEOUT).result();
        }
    }

    /** Guards against an answer with a body or fields that are not the service's. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole",
                "HTTP/1.1 +20 OK\r\nContent-Length: 5\r\n\r\nwhole",
                SUCCESS + "Content-Length: 5x\r\n\r\nwhole",
                SUCCESS + "Content-Length: -5\r\n\r\nwhole",
                SUCCESS + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nwhole",
                SUCCESS + "Content-Length 5\r\n\r\nwhole",
                SUCCESS + "Content-Length : 5\r\n\r\nwhole",
                SUCCESS + "Content-Length\u0001: 5\r\n\r\nwhole",
                SUCCESS + "X Y: a\r\nContent-Length: 5\r\n\r\nwhole",
                SUCCESS + "garbage\r\nContent-Length: 5\r\n\r\nwhole",
                SUCCESS + "X: a\u0000\r\nContent-Length: 5\r\n\r\nwhole",
                SUCCESS + "Transfer-Encoding: chunke\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
                CHUNKED + "5\r\nwhole and more\r\n0\r\n\r\n",
                CHUNKED + "5\u0001\r\nwhole\r\n0\r\n\r\n",
                CHUNKED + "5\r\nwhole\r\n0\r\ngarbage\r\n\r\n"
            })
    void malformedAnswerIsNone(String answer) throws Exception {
        assertInstanceOf(CallResult.Unknown.class, send(answer, RawServer.End.CLOSE, 1));
    }

    /** Guards against a part of an answer that looks whole, as the failed write has taken the error of the reset. */
    @Test
    void partOfAnswerBeforeTheResetOfAnUploadIsNone() throws Exception {
        assertInstanceOf(CallResult.Unknown.class, send(SUCCESS + "\r\npart", RawServer.End.RESET, LONG_BODY_BYTES));
    }

    /** Guards against bytes after an answer that are taken for the answer to the next call on the connection. */
    @Test
    void surplusAnswerIsNotThatOfTheNextCall() throws Exception {
        try (RawServer server = new RawServer(WHOLE + WHOLE.replace("whole", "other"), RawServer.End.SILENCE);
                ServiceClient client = new ServiceClient()) {
            ServiceCall call = new ServiceCall("POST", "seats", List.of(), new byte[1]);
            assertInstanceOf(
                    CallResult.Answered.class,
                    client.send(server.address(), call, TIMEOUT).result());
            assertInstanceOf(
                    CallResult.NotSent.class,
                    client.send(server.address(), call, TIMEOUT).result());
        }
    }

    /** Guards against a process that keeps in memory what a service sends without end. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 O",
                SUCCESS + "X: ",
                SUCCESS + "\r\n",
                CHUNKED + "5;",
                CHUNKED + "5\r\nwhole",
                CHUNKED + "5\r\nwhole\r\n0\r\nX: "
            })
    void answerWithoutEndIsCut(String beginning) throws Exception {
        try (RawServer server = new RawServer(beginning, RawServer.End.NONE);
                ServiceClient client = new ServiceClient()) {
            ServiceCall call = new ServiceCall("POST", "seats", List.of(), new byte[1]);
            assertInstanceOf(
                    CallResult.Unknown.class,
                    client.send(server.address(), call, TIMEOUT).result());
            assertTrue(server.sentBytes() <= MAX_SENT_BYTES, "sent: " + server.sentBytes());
        }
    }

    /** Guards against checks that reject whole answers. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                WHOLE,
                CHUNKED + "2;x=y\r\nwh\r\n3\r\nole\r\n0\r\nX: a\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n" + WHOLE
            })
    void wholeAnswerIsPassedOn(String answer) throws Exception {
        CallResult.Answered<RecordedAnswer> result =
                (CallResult.Answered<RecordedAnswer>) send(answer, RawServer.End.CLOSE, 1);
        assertEquals("whole", new String(result.value().body(), StandardCharsets.UTF_8));
    }
}
