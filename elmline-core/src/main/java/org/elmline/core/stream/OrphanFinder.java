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
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.engine.KvExport;
import org.elmline.core.engine.StreamInfo;

/**
 * Finds streams and exports that an engine holds for a lost entry. One is an orphan only when two listings at least
 * {@code graceNanos} apart show it and its host's incarnation is not live at either: a host that has just joined may
 * be missing from this process's member list. Not thread-safe.
 */
public final class OrphanFinder {
    private final long graceNanos;
    private final Map<Cancel, Long> firstSeenNanos = new HashMap<>();

    public OrphanFinder(long graceNanos) {
        this.graceNanos = graceNanos;
    }

    /**
     * Classifies the streams and exports in one engine's listing.
     *
     * @param registered whether this owner holds a grant for an attempt
     */
    public Findings find(
            BackendServerId server,
            List<StreamInfo> streams,
            List<KvExport> exports,
            LiveHosts hosts,
            Predicate<AttemptId> registered,
            long now) {
        Set<Cancel> suspects = new HashSet<>();
        List<UnregisteredHolding> heldForLiveHosts = new ArrayList<>();
        for (UnregisteredHolding each : findUnregistered(server, streams, exports, registered)) {
            if (hosts.hasEnded(each.host(), each.incarnation())) {
                suspects.add(each.cancel());
            } else {
                heldForLiveHosts.add(each);
            }
        }
        firstSeenNanos.keySet().removeIf(each -> each.server().equals(server) && !suspects.contains(each));
        List<Cancel> orphans = new ArrayList<>();
        for (Cancel each : suspects) {
            long since = firstSeenNanos.computeIfAbsent(each, key -> now);
            if (now - since >= graceNanos) {
                orphans.add(each);
            }
        }
        return new Findings(orphans, heldForLiveHosts);
    }

    private static List<UnregisteredHolding> findUnregistered(
            BackendServerId server, List<StreamInfo> streams, List<KvExport> exports, Predicate<AttemptId> registered) {
        List<UnregisteredHolding> found = new ArrayList<>();
        for (StreamInfo each : streams) {
            if (!registered.test(each.attempt())) {
                found.add(new UnregisteredHolding(
                        Cancel.stream(server, each.attempt()), each.host(), each.incarnation()));
            }
        }
        for (KvExport each : exports) {
            if (!registered.test(each.attempt())) {
                Cancel cancel = Cancel.export(server, each.attempt(), each.id());
                found.add(new UnregisteredHolding(cancel, each.host(), each.incarnation()));
            }
        }
        return found;
    }

    /** Removes what was recorded for a server that this owner no longer owns or that restarted. */
    public void removeServer(BackendServerId server) {
        firstSeenNanos.keySet().removeIf(each -> each.server().equals(server));
    }

    /**
     * Findings from one listing.
     *
     * @param orphans to cancel now
     * @param unregistered held for live entries without a grant; only those entries can report whether they still run
     *     it
     */
    public record Findings(List<Cancel> orphans, List<UnregisteredHolding> unregistered) {}

    /** One stream or export that an engine holds without a grant. */
    public record UnregisteredHolding(Cancel cancel, HostId host, Incarnation incarnation) {}
}
