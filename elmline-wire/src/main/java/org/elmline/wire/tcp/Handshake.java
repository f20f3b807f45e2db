package org.elmline.wire.tcp;

import java.security.SecureRandom;

import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;

/**
 * Both sides prove the peer key to each other before any message is read: hello, hello, proof, proof.
 *
 * <p>Each signs both nonces under its own role, so that a proof can't be reflected back to the side that made it nor
 * replayed on another connection.
 */
final class Handshake {
    private static final SecureRandom RANDOM = new SecureRandom();

    private final PeerKey key;
    private final Side role;
    private final Hello ownHello;
    private Hello peerHello;
    private boolean completed;

    /** Which side opened the connection. */
    enum Side {
        CLIENT,
        SERVER;

        Side opposite() {
            return this == CLIENT ? SERVER : CLIENT;
        }
    }

    Handshake(PeerKey key, Side role) {
        this.key = key;
        this.role = role;
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

    /** Takes the other side's next frame and answers what to do. */
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
                Codecs.MESSAGE_PACK.encode(new Proof(key.sign(role.name(), ownHello.nonce(), peerHello.nonce()))));
    }

    private Step receiveProof(byte[] frame) {
        boolean valid = Codecs.MESSAGE_PACK.decode(frame, Proof.class) instanceof Decoded.Value<Proof> proof
                && proof.value().signature() != null
                && key.verify(
                        role.opposite().name(),
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

        /** Both sides are proven; messages may flow. */
        record Done() implements Step {}

        /** Close the connection. */
        record Fail(String reason) implements Step {}
    }
}
