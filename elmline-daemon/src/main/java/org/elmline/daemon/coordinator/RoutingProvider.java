package org.elmline.daemon.coordinator;

import java.time.Duration;
import java.util.Optional;

import org.elmline.core.registry.PackedRouting;
import org.elmline.core.registry.RegistryChannels.RoutingText;

/**
 * Provides a control host's routing document: that of its log, or the persisted one while the log is not open or is
 * older. After a loss of all hosts, entries serve no callers without a routing document, and opening and replaying the
 * log takes a small host longer than the rest of its start. The persisted document was committed, so it can be stale,
 * as the log's own first state can, but not wrong. Thread-safe, but for {@link #persist}, which one thread calls.
 */
final class RoutingProvider {
    /** Delay before the next write after one that failed. */
    private static final long WRITE_RETRY_NANOS = Duration.ofMillis(500).toNanos();

    private final PersistedValue<RoutingText> persistedRouting;
    private final RoutingText restored;
    private long persistedVersion;
    private long persistedAtNanos;
    private volatile RoutingStore store;
    private PackedRouting packed;

    RoutingProvider(PersistedValue<RoutingText> persistedRouting) {
        this.persistedRouting = persistedRouting;
        this.restored = persistedRouting.read().orElse(RoutingText.NONE);
        this.persistedVersion = restored.version();
    }

    /** Whether a document of an earlier start was restored. */
    boolean hasRestored() {
        return restored.version() >= 0;
    }

    /** Sets the store once the log is open. */
    void attachStore(RoutingStore store) {
        this.store = store;
    }

    /** Version of {@link #current()}, -1 without a document. */
    long currentVersion() {
        return Math.max(logVersion(), restored.version());
    }

    /** Returns the document, {@link RoutingText#NONE} when there is none. */
    RoutingText current() {
        return logVersion() >= restored.version()
                ? Optional.ofNullable(store).map(RoutingStore::current).orElse(RoutingText.NONE)
                : restored;
    }

    /** Returns the document, packed once for all requests. */
    synchronized PackedRouting packed() {
        RoutingText document = current();
        if (packed == null || packed.version() != document.version()) {
            packed = PackedRouting.of(document);
        }
        return packed;
    }

    private long logVersion() {
        return store == null ? -1 : store.currentVersion();
    }

    /** Whether a leader confirms that {@link #current()} holds all that was committed before its election. */
    boolean isConfirmed() {
        return store != null && store.isConfirmed();
    }

    /** Whether this host leads or is in contact with a leader, and so with a majority of the voters. */
    boolean hasQuorum() {
        return store != null && store.hasQuorum();
    }

    /** Persists the log's document for the next start when it is newer than the persisted one. */
    void persist(long now) {
        long version = logVersion();
        boolean writeNeeded = version > persistedVersion
                || (persistedRouting.lastWriteFailed() && now - persistedAtNanos >= WRITE_RETRY_NANOS);
        if (writeNeeded && persistedRouting.tryWrite(store.current())) {
            persistedVersion = version;
            persistedAtNanos = now;
        }
    }
}
