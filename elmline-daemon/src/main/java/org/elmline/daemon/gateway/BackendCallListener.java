package org.elmline.daemon.gateway;

import java.nio.ByteBuffer;

import io.undertow.util.HeaderMap;

/** Receives the events of one call to a backend server, on the I/O thread; none follows an end. */
interface BackendCallListener {
    /** The call has ended: no byte of it has left this process. */
    void onNotSent(String why);

    /** The call has ended: the server accepts no such request now, so none was sent. */
    void onWithheld(String why);

    /** The answer has begun; {@code answerHead} is what its headers contain. */
    void onHead(int status, HeaderMap headers, AnswerHead answerHead);

    /** Whether the next bytes may be read; if not, the listener resumes the call later. */
    default boolean admitsRead() {
        return true;
    }

    /** Bytes of the body have arrived. */
    void onData(ByteBuffer bytes);

    /** The call has ended: the answer is complete. */
    void onComplete();

    /** The call has ended: it was sent and no complete answer will arrive. */
    void onBroken(String why);
}
