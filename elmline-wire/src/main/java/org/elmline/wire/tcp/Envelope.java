package org.elmline.wire.tcp;

import org.elmline.core.timeline.HybridTime;

/**
 * Contents of one frame after the handshake.
 *
 * @param call number of the call on its connection; an answer carries its call's number
 * @param channel name of the channel; empty in answers, the reason in refusals and failures
 * @param stamp the sender's hybrid logical time, so that the time line shows causes before their effects
 * @param body the message, in MessagePack
 */
record Envelope(long call, Kind kind, String channel, HybridTime stamp, byte[] body) {
    /** Kind of a frame. */
    enum Kind {
        CALL,
        ANSWER,
        /** The call was not handled: its channel is unknown, its body is malformed or the process is overloaded. */
        REFUSED,
        /** The handler failed after it began; whether the call took effect is unknown. */
        FAILED
    }
}
