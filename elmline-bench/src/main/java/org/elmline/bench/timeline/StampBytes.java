package org.elmline.bench.timeline;

import org.elmline.core.timeline.HybridTime;
import org.elmline.wire.codec.Codecs;

/** Measures the bytes that a stamp adds to an envelope between processes. */
public final class StampBytes {
    private static final byte[] BODY = new byte[64];
    private static final String CHANNEL = "lease.renew";

    private StampBytes() {}

    /** Difference in MessagePack bytes between an envelope with a stamp and one without. */
    public static int perMessage() {
        HybridTime stamp = HybridTime.of(System.currentTimeMillis() << Short.SIZE);
        int with = Codecs.MESSAGE_PACK.encode(new Stamped(1, "CALL", CHANNEL, BODY, stamp)).length;
        int without = Codecs.MESSAGE_PACK.encode(new Plain(1, "CALL", CHANNEL, BODY)).length;
        return with - without;
    }

    private record Plain(long call, String kind, String channel, byte[] body) {}

    private record Stamped(long call, String kind, String channel, byte[] body, HybridTime stamp) {}
}
