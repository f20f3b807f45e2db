package org.elmline.bench.control;

import org.elmline.core.control.ControlSnapshot;
import org.elmline.core.control.ControlState;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;

/** Decodes bytes that an experiment has encoded. */
final class Decoding {
    private Decoding() {}

    static <T> T decode(byte[] bytes, Class<T> type) {
        if (Codecs.MESSAGE_PACK.decode(bytes, type) instanceof Decoded.Value<T> value) {
            return value.value();
        }
        throw new IllegalStateException(
                "a " + type.getSimpleName() + " can't be decoded from the bytes of an experiment");
    }

    static ControlState restore(byte[] snapshot) {
        return ControlState.restore(decode(snapshot, ControlSnapshot.class));
    }
}
