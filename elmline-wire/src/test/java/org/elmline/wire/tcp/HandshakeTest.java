package org.elmline.wire.tcp;

import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

class HandshakeTest {
    private static final PeerKey KEY = new PeerKey("a peer key of tests");

    @Test
    void bothSidesAuthenticateWithTheSameKey() {
        Handshake client = new Handshake(KEY, Handshake.Side.CLIENT);
        Handshake server = new Handshake(KEY, Handshake.Side.SERVER);
        assertInstanceOf(Decoded.Value.class, Codecs.MESSAGE_PACK.decode(client.hello(), Hello.class));
        Handshake.Step fromServer = server.receive(client.hello());
        Handshake.Step fromClient = client.receive(server.hello());
        assertEquals(
                new Handshake.Step.Done(),
                server.receive(
                        assertInstanceOf(Handshake.Step.Send.class, fromClient).frame()));
        assertEquals(
                new Handshake.Step.Done(),
                client.receive(
                        assertInstanceOf(Handshake.Step.Send.class, fromServer).frame()));
    }

    /** A host without the key sends back the proof that it received. This must not authenticate it. */
    @Test
    void rejectsReflectedProof() {
        Handshake server = new Handshake(KEY, Handshake.Side.SERVER);
        Handshake.Step proof = server.receive(server.hello());
        Handshake.Step answer = server.receive(
                assertInstanceOf(Handshake.Step.Send.class, proof).frame());
        assertEquals(new Handshake.Step.Fail("wrong peer key"), answer);
    }

    @Test
    void rejectsPeerWithoutCommonVersion() {
        Handshake server = new Handshake(KEY, Handshake.Side.SERVER);
        Hello newerRelease = new Hello(Hello.MAGIC, 7, 9, new byte[Hello.NONCE_BYTES]);
        Handshake.Step step = server.receive(Codecs.MESSAGE_PACK.encode(newerRelease));
        assertEquals(
                new Handshake.Step.Fail("no protocol version in common: this side speaks 1 to 1, the other 7 to 9"),
                step);
    }
}
