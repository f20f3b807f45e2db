package org.elmline.wire.tcp;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.nio.charset.StandardCharsets;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.StringLength;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PeerKeyTest {
    @Property(tries = 300)
    void signatureEqualsThePlatformsHmac(
            @ForAll @AlphaChars @StringLength(min = 16, max = 200) String secret,
            @ForAll String purpose,
            @ForAll byte[] first,
            @ForAll byte[] second)
            throws Exception {
        Mac mac = Mac.getInstance("HmacSHA256");
        mac.init(new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), "HmacSHA256"));
        mac.update(purpose.getBytes(StandardCharsets.UTF_8));
        mac.update(first);
        byte[] expected = mac.doFinal(second);

        PeerKey key = new PeerKey(secret);
        assertArrayEquals(expected, key.sign(purpose, first, second));
        assertTrue(key.verify(purpose, first, second, expected));
        expected[0]++;
        assertFalse(key.verify(purpose, first, second, expected));
    }
}
