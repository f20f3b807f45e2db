package org.elmline.wire.tcp;

import org.elmline.core.timeline.HybridTime;

/**
 * What one frame carries.
 *
 * @param call number of the call on its connection; an answer carries its call's number
 * @param channel name of the channel; empty in answers
 * @param stamp the sender's hybrid logical time, so that the time line shows causes before their effects
 * @param body the message, in MessagePack
 */
record Envelope(long call, Kind kind, String channel, HybridTime stamp, byte[] body) {
    /** What the receiver does with a frame. */
    enum Kind {
        CALL,
        ANSWER,
        /** The call was not handled: its channel is unknown, its body malformed or the process is too busy. */
        REFUSED,
        /** The handler failed after it began; whether the call had effect is not known. */
        FAILED
    }
}
