package org.elmline.daemon.caller;

import java.io.IOException;

import org.elmline.core.common.Refusal;
import org.elmline.core.engine.FinishReason;

/**
 * Receives one request's answer. Used by one thread. Methods throw {@link IOException} when the caller has
 * disconnected.
 */
interface AnswerSink {
    /** The next piece, in order and once. */
    void piece(String text) throws IOException;

    /** Ends a complete answer of the given number of output tokens. */
    void end(int tokens, FinishReason reason) throws IOException;

    /** Ends the request without a complete answer. */
    void refuse(Refusal refusal) throws IOException;

    /** Called while no event arrives; detects a caller that has disconnected. */
    void onIdle() throws IOException;
}
