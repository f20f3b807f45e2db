package org.elmline.core.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.elmline.core.common.BackendServerId;

/**
 * Cancels that no engine has acknowledged yet. A lost cancel would leave the engine's memory reserved permanently, so
 * each is repeated, at intervals that double up to a limit, until it is acknowledged or its engine's incarnation has
 * ended. Times are nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class CancelQueue {
    private static final long INITIAL_RETRY_INTERVAL_NANOS = 200_000_000L;
    private static final int MAX_INTERVAL_DOUBLINGS = 5;

    private final Map<Cancel, ResendSchedule> unacknowledged = new LinkedHashMap<>();
    private final Map<BackendServerId, Integer> countByServer = new HashMap<>();

    /** Adds a cancel, due at once; adding it again changes nothing. */
    public void add(Cancel cancel, long now) {
        if (unacknowledged.putIfAbsent(cancel, new ResendSchedule(now, 0)) == null) {
            countByServer.merge(cancel.server(), 1, Integer::sum);
        }
    }

    /** Returns the cancels to send now and schedules their next repetition; each stays open until acknowledged. */
    public List<Cancel> due(long now) {
        List<Cancel> due = new ArrayList<>();
        for (Map.Entry<Cancel, ResendSchedule> each : unacknowledged.entrySet()) {
            if (now - each.getValue().dueAtNanos() >= 0) {
                due.add(each.getKey());
                each.setValue(each.getValue().next(now));
            }
        }
        return due;
    }

    /** Removes a cancel that the engine acknowledged. False when it was not open. */
    public boolean acknowledge(Cancel cancel) {
        boolean removed = unacknowledged.remove(cancel) != null;
        if (removed) {
            countByServer.computeIfPresent(cancel.server(), (id, count) -> count == 1 ? null : count - 1);
        }
        return removed;
    }

    /** Removes the cancels of a server that has restarted, which freed its memory, or that counts as lost. */
    public void removeServer(BackendServerId server) {
        if (countByServer.remove(server) != null) {
            unacknowledged.keySet().removeIf(each -> each.server().equals(server));
        }
    }

    public boolean contains(Cancel cancel) {
        return unacknowledged.containsKey(cancel);
    }

    public int size() {
        return unacknowledged.size();
    }

    private record ResendSchedule(long dueAtNanos, int sendCount) {
        ResendSchedule next(long now) {
            return new ResendSchedule(
                    now + (INITIAL_RETRY_INTERVAL_NANOS << Math.min(sendCount, MAX_INTERVAL_DOUBLINGS)), sendCount + 1);
        }
    }
}
