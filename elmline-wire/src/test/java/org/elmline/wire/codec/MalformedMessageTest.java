package org.elmline.wire.codec;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

import org.elmline.core.registry.FollowAnswer;
import org.elmline.core.registry.FollowRequest;
import org.elmline.core.registry.RegistryChannels.RoutingText;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Bytes in place of a message between processes, or of a persisted value. */
class MalformedMessageTest {
    private static final int NESTING = 20_000;
    private static final int RANDOM_MESSAGES = 20_000;

    private static byte[] deeplyNested() {
        byte[] bytes = new byte[NESTING + 1];
        Arrays.fill(bytes, (byte) 0x91);
        bytes[NESTING] = (byte) 0xc0;
        return bytes;
    }

    /** Guards against the end of a process for lack of memory: a short message that states a length of 2 GB. */
    @Test
    void statedLengthsBeyondTheMessageAreMalformed() {
        for (int code : new int[] {0xdb, 0xc6, 0xc9, 0xdd, 0xdf}) {
            byte[] field = {(byte) 0x81, (byte) 0xa4, 't', 'e', 'x', 't', (byte) code, 0x7f, -1, -1, -9};
            assertInstanceOf(Decoded.Malformed.class, Codecs.MESSAGE_PACK.decode(field, RoutingText.class));
            byte[] name = {(byte) 0x81, (byte) code, 0x7f, -1, -1, -9};
            assertInstanceOf(Decoded.Malformed.class, Codecs.MESSAGE_PACK.decode(name, RoutingText.class));
        }
    }

    /** Guards against an exception that ends a process or a reader: bytes that are no message, also of any depth. */
    @Test
    void bytesThatAreNoMessageAreMalformed() {
        List<byte[]> messages = new ArrayList<>(List.of(deeplyNested(), new byte[0], new byte[] {(byte) 0xc1}));
        SplittableRandom random = new SplittableRandom(11);
        for (int i = 0; i < RANDOM_MESSAGES; i++) {
            byte[] bytes = new byte[1 + random.nextInt(12)];
            random.nextBytes(bytes);
            // A map with one field, so that most messages get further than their first byte.
            bytes[0] = i % 2 == 0 ? bytes[0] : (byte) 0x81;
            messages.add(bytes);
        }
        for (byte[] each : messages) {
            assertDoesNotThrow(() -> Codecs.MESSAGE_PACK.decode(each, FollowAnswer.class), () -> Arrays.toString(each));
            assertDoesNotThrow(
                    () -> Codecs.MESSAGE_PACK.decode(each, FollowRequest.class), () -> Arrays.toString(each));
        }
    }
}
