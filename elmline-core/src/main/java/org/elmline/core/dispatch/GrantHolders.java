package org.elmline.core.dispatch;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.elmline.core.common.HostId;

/**
 * Records which dispatchers count an attempt of this entry, so that each of them is notified of its end. While the
 * dispatcher of a service changes, a call is requested at two of them. A dispatcher that granted it and was not
 * notified that it ran elsewhere would count a call that does not exist until two seconds after its deadline (twelve
 * seconds with a timeout of ten), and an engine with such a call accepts no long prompts. Not safe for concurrent use.
 */
public final class GrantHolders {
    private final Map<String, Set<HostId>> holders = new HashMap<>();

    /** Records that a dispatcher received a request for or a report of the attempt, and so may count it. */
    public void addHolder(String attempt, HostId dispatcher) {
        holders.computeIfAbsent(attempt, each -> new LinkedHashSet<>()).add(dispatcher);
    }

    /** Keeps one dispatcher as holder of the attempt. Returns the others, which are to be sent its cancellation. */
    public List<HostId> retainOnly(String attempt, HostId dispatcher) {
        List<HostId> others = otherHolders(attempt, dispatcher);
        holders.put(attempt, new LinkedHashSet<>(List.of(dispatcher)));
        return others;
    }

    /** Records that a dispatcher was sent the cancellation of the attempt. */
    public void removeHolder(String attempt, HostId dispatcher) {
        Set<HostId> all = holders.get(attempt);
        if (all != null) {
            all.remove(dispatcher);
        }
    }

    /** The dispatchers that count the attempt. */
    public List<HostId> holdersOf(String attempt) {
        return List.copyOf(holders.getOrDefault(attempt, Set.of()));
    }

    /** Removes the attempt at its end. Returns the dispatchers to notify. */
    public List<HostId> removeAttempt(String attempt) {
        Set<HostId> all = holders.remove(attempt);
        return all == null ? List.of() : List.copyOf(all);
    }

    private List<HostId> otherHolders(String attempt, HostId dispatcher) {
        return holdersOf(attempt).stream()
                .filter(each -> !each.equals(dispatcher))
                .toList();
    }
}
