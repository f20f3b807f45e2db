package org.elmline.wire.tcp;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * The secret that all processes of one deployment share; proves knowledge of it without sending it, by HMAC with
 * SHA-256 (RFC 2104). {@code javax.crypto.Mac} computes the same, but its framework verifies its providers at first
 * use, which takes as long as everything else that a starting process needs for its first answer.
 */
public final class PeerKey {
    private static final String DIGEST = "SHA-256";
    private static final int BLOCK_BYTES = 64;
    private static final byte INNER_PAD = 0x36;
    private static final byte OUTER_PAD = 0x5c;
    private static final int MIN_LENGTH = 16;

    private final byte[] key;

    public PeerKey(String secret) {
        if (secret == null || secret.length() < MIN_LENGTH) {
            throw new IllegalArgumentException("the peer key must have at least " + MIN_LENGTH + " characters");
        }
        byte[] bytes = secret.getBytes(StandardCharsets.UTF_8);
        key = Arrays.copyOf(bytes.length > BLOCK_BYTES ? digest().digest(bytes) : bytes, BLOCK_BYTES);
    }

    /** The signature of two texts for one purpose. */
    public byte[] sign(String purpose, byte[] first, byte[] second) {
        MessageDigest digest = digest();
        digest.update(padded(INNER_PAD));
        digest.update(purpose.getBytes(StandardCharsets.UTF_8));
        digest.update(first);
        byte[] inner = digest.digest(second);
        digest.update(padded(OUTER_PAD));
        return digest.digest(inner);
    }

    /** Whether a signature is that of the two texts for this purpose. */
    public boolean verify(String purpose, byte[] first, byte[] second, byte[] signature) {
        return MessageDigest.isEqual(sign(purpose, first, second), signature);
    }

    private byte[] padded(byte pad) {
        byte[] block = new byte[BLOCK_BYTES];
        for (int i = 0; i < BLOCK_BYTES; i++) {
            block[i] = (byte) (key[i] ^ pad);
        }
        return block;
    }

    private static MessageDigest digest() {
        try {
            return MessageDigest.getInstance(DIGEST);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    DIGEST + " is not available, although every Java platform has to provide it", e);
        }
    }
}
