package org.elmline.wire.tcp;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;

/** The secret that all processes of one deployment share; proves knowledge of it without sending it. */
public final class PeerKey {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int MIN_LENGTH = 16;

    private final SecretKeySpec key;

    public PeerKey(String secret) {
        if (secret == null || secret.length() < MIN_LENGTH) {
            throw new IllegalArgumentException("the peer key must have at least " + MIN_LENGTH + " characters");
        }
        key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    byte[] sign(String purpose, byte[] first, byte[] second) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update(purpose.getBytes(StandardCharsets.UTF_8));
            mac.update(first);
            return mac.doFinal(second);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }

    boolean verify(String purpose, byte[] first, byte[] second, byte[] signature) {
        return MessageDigest.isEqual(sign(purpose, first, second), signature);
    }
}
