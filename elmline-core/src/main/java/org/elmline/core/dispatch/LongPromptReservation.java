package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Keeps short calls off some engines while a long prompt waits. */
final class LongPromptReservation {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time for which engines are reserved for a waiting long prompt; about the duration of a short answer. */
    private static final long LONG_RESERVATION_NANOS = 400 * NANOS_PER_MILLI;

    /**
     * One in so many engines, at least one, is reserved for a waiting long prompt beside those that suit it already.
     */
    private static final int ENGINES_PER_RESERVATION = 5;

    private LongPromptReservation() {}

    /**
     * Reserves for long prompts the engines that suit them and some others, those with the fewest running calls.
     * Without the latter, engines that are all packed with short answers never suit a long prompt, and it waits until
     * its caller times out.
     */
    static void reserve(List<ServerLoad> usable, Placement placement, long now) {
        List<ServerLoad> unsuitable = new ArrayList<>();
        for (ServerLoad each : usable) {
            if (placement.isUnsuitableForLong(each, now)) {
                unsuitable.add(each);
            } else {
                each.reserveForLong(now + LONG_RESERVATION_NANOS);
            }
        }
        unsuitable.sort(Comparator.comparingInt(ServerLoad::running));
        int count = Math.max(1, usable.size() / ENGINES_PER_RESERVATION);
        for (ServerLoad each : unsuitable.subList(0, Math.min(count, unsuitable.size()))) {
            each.reserveForLong(now + LONG_RESERVATION_NANOS);
        }
    }
}
