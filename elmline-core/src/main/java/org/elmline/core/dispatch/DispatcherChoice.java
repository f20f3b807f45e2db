package org.elmline.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.elmline.core.common.HostId;
import org.elmline.core.common.ServiceName;
import org.elmline.core.registry.EntryRecord;

/**
 * Which entry dispatches a service: the one with the lowest hash of both names (rendezvous hashing). All entries that
 * see the same entries agree without a word; a change moves only what must move. Two dispatchers for a moment can place
 * on the same free place, which costs waiting and breaks no promise.
 */
public final class DispatcherChoice {
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

    private DispatcherChoice() {}

    /** The entries that may dispatch, the one to ask first in front. */
    public static List<EntryRecord> order(ServiceName service, Collection<EntryRecord> entries) {
        return entries.stream()
                .filter(EntryRecord::serving)
                .sorted(byWeight(service))
                .toList();
    }

    /** The entry to ask first; empty when none may dispatch. */
    public static Optional<EntryRecord> first(ServiceName service, Collection<EntryRecord> entries) {
        return entries.stream().filter(EntryRecord::serving).min(byWeight(service));
    }

    private static Comparator<EntryRecord> byWeight(ServiceName service) {
        return Comparator.comparingLong((EntryRecord each) -> weight(service, each.host()))
                .thenComparing(EntryRecord::host);
    }

    private static long weight(ServiceName service, HostId host) {
        long hash = 17;
        String text = service.value() + '/' + host.value();
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * MULTIPLIER;
            hash ^= hash >>> 29;
        }
        return hash;
    }
}
