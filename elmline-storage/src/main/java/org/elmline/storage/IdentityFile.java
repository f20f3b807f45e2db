package org.elmline.storage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.elmline.core.raft.ReplicaId;

/**
 * The file {@code identity}: one line of text, {@code elmline-replica-1 HOST@HEX}. It is written after the first
 * segment, so an identity without a log means that the log was lost.
 */
final class IdentityFile {
    static final String NAME = "identity";

    private static final String PREFIX = "elmline-replica-1 ";

    private IdentityFile() {}

    static ByteBuffer encode(ReplicaId id) {
        return ByteBuffer.wrap((PREFIX + id + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** Null when the bytes are not an identity. */
    static ReplicaId decode(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        if (!text.startsWith(PREFIX) || !text.endsWith("\n")) {
            return null;
        }
        try {
            return ReplicaId.parse(text.substring(PREFIX.length(), text.length() - 1));
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
