package org.elmline.core.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.engine.KvExport;
import org.elmline.core.engine.StreamInfo;

/**
 * Finds streams and exports that an engine holds for an entry that is gone. One is a stray only when two listings at
 * least {@code graceNanos} apart show it with its host gone in both: a host that joined a moment ago may be missing
 * from this process's member list. Not thread-safe.
 */
public final class StrayFinder {
    private final long graceNanos;
    private final Map<Cancel, Long> firstSeen = new HashMap<>();

    public StrayFinder(long graceNanos) {
        this.graceNanos = graceNanos;
    }

    /**
     * Judges one engine's listing.
     *
     * @param registered attempts that a live entry has registered
     */
    public List<Cancel> find(
            BackendServerId server,
            List<StreamInfo> streams,
            List<KvExport> exports,
            LiveHosts hosts,
            Predicate<AttemptId> registered,
            long now) {
        Set<Cancel> suspects = new HashSet<>();
        for (StreamInfo each : streams) {
            if (hosts.gone(each.host(), each.incarnation()) && !registered.test(each.attempt())) {
                suspects.add(Cancel.stream(server, each.attempt()));
            }
        }
        for (KvExport each : exports) {
            if (hosts.gone(each.host(), each.incarnation()) && !registered.test(each.attempt())) {
                suspects.add(Cancel.export(server, each.attempt(), each.id()));
            }
        }
        firstSeen.keySet().removeIf(each -> each.server().equals(server) && !suspects.contains(each));
        List<Cancel> strays = new ArrayList<>();
        for (Cancel each : suspects) {
            long since = firstSeen.computeIfAbsent(each, key -> now);
            if (now - since >= graceNanos) {
                strays.add(each);
            }
        }
        return strays;
    }

    /** Forgets what was seen on a server that this owner no longer owns. */
    public void forget(BackendServerId server) {
        firstSeen.keySet().removeIf(each -> each.server().equals(server));
    }
}
