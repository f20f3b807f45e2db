package org.elmline.wire.tcp;

import java.security.SecureRandom;

import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;

/**
 * Mutual authentication by the peer key before any message is read: hello, hello, proof, proof.
 *
 * <p>Each side signs both nonces under the name of its own side, so that a proof can neither be reflected to the side
 * that made it nor replayed on another connection.
 */
final class Handshake {
    /** Longest frame of a handshake, in bytes. */
    static final int MAX_FRAME_BYTES = 1_024;

    private static final SecureRandom RANDOM = new SecureRandom();

    private final PeerKey key;
    private final Side side;
    private final Hello ownHello;
    private Hello peerHello;
    private boolean completed;

    /** Side of a connection; the client is the one that opened it. */
    enum Side {
        CLIENT,
        SERVER;

        Side opposite() {
            return this == CLIENT ? SERVER : CLIENT;
        }
    }

    Handshake(PeerKey key, Side side) {
        this.key = key;
        this.side = side;
        byte[] nonce = new byte[Hello.NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        ownHello = new Hello(Hello.MAGIC, Hello.MIN_VERSION, Hello.MAX_VERSION, nonce);
    }

    byte[] hello() {
        return Codecs.MESSAGE_PACK.encode(ownHello);
    }

    boolean completed() {
        return completed;
    }

    /** Processes the peer's next frame and returns what the connection has to do. */
    Step receive(byte[] frame) {
        return peerHello == null ? receiveHello(frame) : receiveProof(frame);
    }

    private Step receiveHello(byte[] frame) {
        if (!(Codecs.MESSAGE_PACK.decode(frame, Hello.class) instanceof Decoded.Value<Hello> hello)
                || !Hello.MAGIC.equals(hello.value().magic())
                || hello.value().nonce() == null
                || hello.value().nonce().length != Hello.NONCE_BYTES) {
            return new Step.Fail("not an elmline process");
        }
        if (Hello.commonVersion(ownHello, hello.value()) == 0) {
            return new Step.Fail("no protocol version in common: this side speaks " + ownHello.minVersion() + " to "
                    + ownHello.maxVersion() + ", the other " + hello.value().minVersion() + " to "
                    + hello.value().maxVersion());
        }
        peerHello = hello.value();
        return new Step.Send(
                Codecs.MESSAGE_PACK.encode(new Proof(key.sign(side.name(), ownHello.nonce(), peerHello.nonce()))));
    }

    private Step receiveProof(byte[] frame) {
        boolean valid = Codecs.MESSAGE_PACK.decode(frame, Proof.class) instanceof Decoded.Value<Proof> proof
                && proof.value().signature() != null
                && key.verify(
                        side.opposite().name(),
                        peerHello.nonce(),
                        ownHello.nonce(),
                        proof.value().signature());
        if (!valid) {
            return new Step.Fail("wrong peer key");
        }
        completed = true;
        return new Step.Done();
    }

    /** What the connection does next. */
    sealed interface Step {
        /** Send this frame. */
        record Send(byte[] frame) implements Step {}

        /** Both sides are authenticated; messages may be sent. */
        record Done() implements Step {}

        /** Close the connection. */
        record Fail(String reason) implements Step {}
    }
}
