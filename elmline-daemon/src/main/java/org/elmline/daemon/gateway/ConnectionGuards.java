package org.elmline.daemon.gateway;

import io.undertow.client.ClientConnection;
import io.undertow.util.Attachable;
import io.undertow.util.AttachmentKey;
import org.xnio.StreamConnection;

/**
 * What guards one connection below the HTTP client. Used on the I/O thread only.
 *
 * @param answers fails the reading of malformed answers
 * @param bytes bounds what is read without an answer
 * @param use how the connection has been used
 */
record ConnectionGuards(AnswerCheck answers, UnproductiveBytes bytes, ConnectionUse use) {
    private static final AttachmentKey<ConnectionGuards> KEY = AttachmentKey.create(ConnectionGuards.class);

    /** Places the guards below the client on a socket that has just been opened. */
    static ConnectionGuards install(StreamConnection socket) {
        AnswerCheck answers = new AnswerCheck(socket.getSourceChannel().getConduit());
        UnproductiveBytes bytes = new UnproductiveBytes(answers);
        socket.getSourceChannel().setConduit(bytes);
        return new ConnectionGuards(answers, bytes, new ConnectionUse(socket));
    }

    /** The guards of a connection of the HTTP client. */
    static ConnectionGuards of(ClientConnection connection) {
        return ((Attachable) connection).getAttachment(KEY);
    }

    void attachTo(ClientConnection connection) {
        ((Attachable) connection).putAttachment(KEY, this);
    }

    /**
     * Records that a request is sent.
     *
     * @return whether one was sent on the connection before
     */
    boolean recordRequest(String method) {
        bytes.reset();
        answers.expectAnswer(method);
        return use.recordRequest();
    }
}
