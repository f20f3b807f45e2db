package org.elmline.core.timeline;

/** The time of day. It may step in either direction, so only time stamps are taken from it. */
@FunctionalInterface
public interface WallClock {
    /** Milliseconds since 1970-01-01T00:00Z. */
    long millis();
}
