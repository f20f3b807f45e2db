package org.elmline.daemon.gateway;

import java.nio.ByteBuffer;

import io.undertow.util.HeaderMap;

/** What happens to one call to a backend server, told on the I/O thread; nothing is told after an end. */
interface BackendCallListener {
    /** An end: no byte of the call has left this process. */
    void onNotSent(String why);

    /** The answer begins; {@code read} is what its headers say. */
    void onHead(int status, HeaderMap headers, AnswerHead answerHead);

    /** Bytes of the body. */
    void onData(ByteBuffer bytes);

    /** An end: the answer is complete. */
    void onComplete();

    /** An end: the call was sent and no complete answer will come. */
    void onBroken(String why);
}
