package org.elmline.daemon.caller;

import java.io.IOException;

import org.elmline.core.common.Refusal;
import org.elmline.core.engine.FinishReason;

/** Where one request's answer goes. Used by one thread. A write fails when the caller has left. */
interface AnswerSink {
    /** The next piece, in order and once. */
    void piece(String text) throws IOException;

    /** The answer is whole. */
    void end(int tokens, FinishReason reason) throws IOException;

    /** The request ends without a whole answer. */
    void refuse(Refusal refusal) throws IOException;

    /** Called while nothing arrives; finds a caller who has left. */
    void onIdle() throws IOException;
}
