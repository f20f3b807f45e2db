package org.elmline.core.timeline;

/** The time of day. May step in either direction, so nothing but stamps for people is taken from it. */
@FunctionalInterface
public interface WallClock {
    /** Milliseconds since 1970-01-01T00:00Z. */
    long millis();
}
