package org.elmline.daemon.raft;

import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;

class RaftChannelsTest {
    private static final byte[] EMPTY_MESSAGE = {(byte) 0x80};

    /** Guards against a control host that ends, as a replica without an identity asks to join. */
    @Test
    void requestToJoinNeedsItsReplica() {
        assertInstanceOf(Decoded.Malformed.class, Codecs.MESSAGE_PACK.decode(EMPTY_MESSAGE, RaftChannels.Join.class));
    }
}
