package org.elmline.core.timeline;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;

/** Formats an event as one human-readable line: wall clock (UTC), hybrid time, host, event. */
public final class EventText {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss.SSS").withZone(ZoneOffset.UTC);

    private EventText() {}

    public static String format(StampedEvent stamped) {
        return TIME.format(Instant.ofEpochMilli(stamped.wallMillis()))
                + "  " + stamped.time()
                + "  " + stamped.host()
                + "  " + stamped.event();
    }
}
