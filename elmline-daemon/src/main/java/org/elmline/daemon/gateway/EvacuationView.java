package org.elmline.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import org.elmline.core.evacuation.EvacuationProgress;
import org.elmline.core.evacuation.EvacuationRecord;
import org.elmline.core.evacuation.Evacuations;
import org.elmline.core.registry.Registration;
import org.elmline.daemon.log.DecisionLog;

/**
 * The evacuations that an entry holds: the highest version that any control host has sent. Used on the I/O thread only,
 * but for {@link #progress}.
 */
final class EvacuationView {
    private final boolean followed;
    private final LongSupplier wallMillis;
    private final DecisionLog log;
    private volatile Evacuations held = Evacuations.NONE;
    private volatile int runningCalls;
    private List<Registration> lastServers = List.of();
    private List<Registration> lastRemaining = List.of();
    private long lastVersion;

    /**
     * @param followed whether the settings give evacuations; if not, none are ever held
     * @param wallMillis the wall clock in milliseconds since 1970, for the ages in log lines
     */
    EvacuationView(boolean followed, LongSupplier wallMillis, DecisionLog log, MetricRegistry metrics) {
        this.followed = followed;
        this.wallMillis = wallMillis;
        this.log = log;
        if (followed) {
            metrics.gauge("evacuation.domains", () -> () -> held.evacuatedDomains());
        }
    }

    boolean isFollowed() {
        return followed;
    }

    /** Holds these evacuations if they are newer. Returns whether they are. */
    boolean apply(Evacuations next) {
        if (!followed || next == null || next.version() <= held.version()) {
            return false;
        }
        for (EvacuationRecord each : next.changesSince(held.version())) {
            log.line(each.evacuated() ? "evacuation started" : "evacuation ended")
                    .with("failureDomain", each.domain())
                    .with("version", each.change())
                    .with("acceptedBy", each.acceptedBy())
                    .with("ageMs", wallMillis.getAsLong() - each.wallMillis())
                    .write();
        }
        held = next;
        return true;
    }

    boolean isAnyEvacuated() {
        return held.isAnyEvacuated();
    }

    /**
     * Whether a server may be sent new work.
     *
     * @param server null for a server that this entry has no registration of: while any failure domain is evacuated it
     *     is sent nothing, as it may belong to that one
     */
    boolean allows(Registration server) {
        return server == null ? !held.isAnyEvacuated() : !held.isEvacuated(server.failureDomain());
    }

    /** Returns the servers outside evacuated failure domains; the same list while neither servers nor version change. */
    List<Registration> remaining(List<Registration> servers) {
        if (!held.isAnyEvacuated()) {
            return servers;
        }
        if (servers != lastServers || held.version() != lastVersion) {
            List<Registration> remaining = new ArrayList<>(servers);
            remaining.removeIf(each -> !allows(each));
            lastServers = servers;
            lastVersion = held.version();
            lastRemaining = remaining;
        }
        return lastRemaining;
    }

    /** Records how many calls this entry runs on servers of evacuated failure domains. */
    void recordRunningCalls(int calls) {
        runningCalls = calls;
    }

    /** What this entry reports with its polls. Thread-safe. */
    EvacuationProgress progress() {
        return followed ? new EvacuationProgress(held.version(), runningCalls) : EvacuationProgress.NOT_FOLLOWED;
    }
}
