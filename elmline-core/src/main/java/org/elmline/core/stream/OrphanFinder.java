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
 * Finds streams and exports that an engine holds for an entry that is gone. One is a stray only when two listings at
 * least {@code graceNanos} apart show it with its host gone in both: a host that joined a moment ago may be missing
 * from this process's member list. Not thread-safe.
 */
public final class OrphanFinder {
    private final long graceNanos;
    private final Map<Cancel, Long> firstSeenNanos = new HashMap<>();

    public OrphanFinder(long graceNanos) {
        this.graceNanos = graceNanos;
    }

    /**
     * Judges one engine's listing.
     *
     * @param registered attempts that a live entry has registered
     */
    public Findings find(
            BackendServerId server,
            List<StreamInfo> streams,
            List<KvExport> exports,
            LiveHosts hosts,
            Predicate<AttemptId> registered,
            long now) {
        Set<Cancel> suspects = new HashSet<>();
        List<UnregisteredHolding> doubts = new ArrayList<>();
        for (UnregisteredHolding each : findUnregistered(server, streams, exports, registered)) {
            if (hosts.hasEnded(each.host(), each.incarnation())) {
                suspects.add(each.cancel());
            } else {
                doubts.add(each);
            }
        }
        firstSeenNanos.keySet().removeIf(each -> each.server().equals(server) && !suspects.contains(each));
        List<Cancel> strays = new ArrayList<>();
        for (Cancel each : suspects) {
            long since = firstSeenNanos.computeIfAbsent(each, key -> now);
            if (now - since >= graceNanos) {
                strays.add(each);
            }
        }
        return new Findings(strays, doubts);
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

    /** Forgets what was seen on a server that this owner no longer owns. */
    public void removeServer(BackendServerId server) {
        firstSeenNanos.keySet().removeIf(each -> each.server().equals(server));
    }

    /**
     * What a listing showed.
     *
     * @param orphans to cancel now
     * @param unregistered held in the name of live entries, which alone know whether they still run it
     */
    public record Findings(List<Cancel> orphans, List<UnregisteredHolding> unregistered) {}

    /** One thing an engine holds without a grant. */
    public record UnregisteredHolding(Cancel cancel, HostId host, Incarnation incarnation) {}
}
