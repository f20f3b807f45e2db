package org.elmline.daemon.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.elmline.core.common.Address;
import org.elmline.core.quarantine.PromptPart;
import org.elmline.core.quarantine.ServerCrash;

/**
 * The crashes that this entry has reported, and the control hosts that hold them. A control host that has restarted, or
 * was cut off from this entry, lacks some: with two of three ends unknown it would let a request end servers for longer.
 * Bounded: the oldest are dropped first. Times named {@code now} are monotonic, in nanoseconds. Used on the I/O thread
 * only.
 */
final class SentCrashes {
    /** Time for which control hosts count a crash. */
    private static final long RETENTION_NANOS = Duration.ofMinutes(10).toNanos();

    private static final int MAX_CRASHES = 256;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Deque<SentCrash> crashes = new ArrayDeque<>();
    private final Map<Address, Long> starts = new HashMap<>();

    /** @param receivers control hosts that hold the crash, or are being sent it */
    private record SentCrash(ServerCrash crash, long atNanos, Set<Address> receivers) {
        ServerCrash agedBy(long now) {
            return crash.agedBy((now - atNanos) / NANOS_PER_MILLI);
        }
    }

    /** Adds a crash that is being sent to these control hosts. */
    void add(ServerCrash crash, Collection<Address> receivers, long now) {
        crashes.removeIf(each -> now - each.atNanos() >= RETENTION_NANOS);
        crashes.addLast(new SentCrash(crash, now, new HashSet<>(receivers)));
        if (crashes.size() > MAX_CRASHES) {
            crashes.removeFirst();
        }
    }

    /** Records that a control host answers, and which start of it does: a new one holds nothing. */
    void onAnswer(Address controlHost, long start) {
        Long known = starts.put(controlHost, start);
        if (known == null || known != start) {
            crashes.forEach(each -> each.receivers().remove(controlHost));
        }
    }

    /** Records that a control host did not answer a report with this crash. */
    void onLost(Address controlHost, ServerCrash crash) {
        crashes.stream().filter(each -> each.crash().isSame(crash)).forEach(each -> each.receivers()
                .remove(controlHost));
    }

    /** Drops the crashes of a request that was answered: they show nothing any more. */
    void removeRequest(PromptPart request) {
        crashes.removeIf(each -> each.crash().parts().contains(request));
    }

    /** The crashes that a control host lacks; each counts as being sent to it from now on. */
    List<ServerCrash> startSending(Address controlHost, long now) {
        List<ServerCrash> missing = new ArrayList<>();
        for (SentCrash each : crashes) {
            if (each.receivers().add(controlHost)) {
                missing.add(each.agedBy(now));
            }
        }
        return missing;
    }
}
