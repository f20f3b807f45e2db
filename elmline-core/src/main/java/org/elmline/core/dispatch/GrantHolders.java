package org.elmline.core.dispatch;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.elmline.core.common.HostId;

/**
 * Which dispatchers count an attempt of this entry, so that each of them hears of its end. While the dispatcher of a
 * service changes, a call is asked for at two of them: one that granted it and never heard that it ran elsewhere counted
 * a call that isn't there for twelve seconds, and an engine with such a call is closed to long prompts. Not safe for
 * concurrent use.
 */
public final class GrantHolders {
    private final Map<String, Set<HostId>> holders = new HashMap<>();

    /** Notes that a dispatcher was asked for a place, or told of the attempt, and so may count it. */
    public void addHolder(String attempt, HostId dispatcher) {
        holders.computeIfAbsent(attempt, each -> new LinkedHashSet<>()).add(dispatcher);
    }

    /** Leaves the attempt to one dispatcher. Returns the others, which are to forget it. */
    public List<HostId> retainOnly(String attempt, HostId dispatcher) {
        List<HostId> others = otherHolders(attempt, dispatcher);
        holders.put(attempt, new LinkedHashSet<>(List.of(dispatcher)));
        return others;
    }

    /** Notes that a dispatcher was told to forget the attempt. */
    public void removeHolder(String attempt, HostId dispatcher) {
        Set<HostId> all = holders.get(attempt);
        if (all != null) {
            all.remove(dispatcher);
        }
    }

    /** Those that count the attempt. */
    public List<HostId> holdersOf(String attempt) {
        return List.copyOf(holders.getOrDefault(attempt, Set.of()));
    }

    /** Ends the attempt. Returns those that are to be told. */
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
