package org.elmline.daemon.coordinator;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import org.elmline.core.evacuation.EvacuationChannels.EvacuationReading;
import org.elmline.core.evacuation.EvacuationRecord;
import org.elmline.core.evacuation.Evacuations;
import org.elmline.daemon.log.DecisionLog;

/**
 * Provides a control host's evacuations: those of its log, or the persisted ones while the log is not open or is older.
 * After a loss of all power entries receive the first routing table before the log is open; without the evacuations
 * beside it they would send to evacuated servers. Thread-safe, but for {@link #tick}, which one thread calls.
 */
final class EvacuationProvider {
    /** Delay before the next write after one that failed. */
    private static final long WRITE_RETRY_NANOS = Duration.ofMillis(500).toNanos();

    private final PersistedValue<Evacuations> persisted;
    private final LongSupplier wallMillis;
    private final DecisionLog log;
    private final Evacuations restored;
    private long persistedVersion;
    private long persistedAtNanos;
    private long loggedVersion;
    private volatile EvacuationLog evacuationLog;

    private EvacuationProvider(PersistedValue<Evacuations> persisted, LongSupplier wallMillis, DecisionLog log) {
        this.persisted = persisted;
        this.wallMillis = wallMillis;
        this.log = log;
        this.restored = persisted == null ? Evacuations.NONE : persisted.read().orElse(Evacuations.NONE);
        this.persistedVersion = restored.version();
    }

    /** @param wallMillis the wall clock in milliseconds since 1970, for the ages in log lines */
    static EvacuationProvider of(
            PersistedValue<Evacuations> persisted, LongSupplier wallMillis, MetricRegistry metrics, DecisionLog log) {
        EvacuationProvider provider = new EvacuationProvider(persisted, wallMillis, log);
        metrics.gauge("evacuation.domains", () -> () -> provider.current().evacuatedDomains());
        return provider;
    }

    /** Creates the provider of a deployment whose settings give no evacuations; it never holds any. */
    static EvacuationProvider disabled() {
        return new EvacuationProvider(null, () -> 0, null);
    }

    /** Sets the log once it is open. */
    void attachLog(EvacuationLog opened) {
        if (persisted != null) {
            evacuationLog = opened;
        }
    }

    /** Version of {@link #current()}, 0 without any. */
    long currentVersion() {
        return Math.max(logVersion(), restored.version());
    }

    Evacuations current() {
        EvacuationLog open = evacuationLog;
        if (open == null) {
            return restored;
        }
        Evacuations applied = open.current();
        return applied.version() >= restored.version() ? applied : restored;
    }

    /**
     * Returns the evacuations as an entry that was suspended fetches them. Only the leader's answer is known to be the
     * latest: a host that was suspended as well, or lags behind, would confirm what it held before.
     */
    CompletableFuture<EvacuationReading> fetch() {
        EvacuationLog open = evacuationLog;
        EvacuationReading unconfirmed = new EvacuationReading(false, current());
        return open == null
                ? CompletableFuture.completedFuture(unconfirmed)
                : open.read().thenApply(reading -> reading.known() ? reading : unconfirmed);
    }

    private long logVersion() {
        EvacuationLog open = evacuationLog;
        return open == null ? 0 : open.currentVersion();
    }

    /** Logs changes, and persists the log's evacuations for the next start when they are newer. */
    void tick(long now) {
        if (persisted == null) {
            return;
        }
        logChanges();
        persist(now);
    }

    private void logChanges() {
        if (currentVersion() <= loggedVersion) {
            return;
        }
        Evacuations latest = current();
        for (EvacuationRecord each : latest.changesSince(loggedVersion)) {
            log.line(each.evacuated() ? "evacuation started" : "evacuation ended")
                    .with("failureDomain", each.domain())
                    .with("version", each.change())
                    .with("acceptedBy", each.acceptedBy())
                    .with("ageMs", wallMillis.getAsLong() - each.wallMillis())
                    .write();
        }
        loggedVersion = latest.version();
    }

    private void persist(long now) {
        long version = logVersion();
        boolean writeNeeded = version > persistedVersion
                || (persisted.lastWriteFailed() && now - persistedAtNanos >= WRITE_RETRY_NANOS);
        if (!writeNeeded) {
            return;
        }
        Evacuations latest = current();
        if (persisted.tryWrite(latest)) {
            persistedVersion = latest.version();
            persistedAtNanos = now;
        }
    }
}
