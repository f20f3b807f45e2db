package org.elmline.daemon.coordinator;

import java.time.Duration;
import java.util.Optional;

import org.elmline.core.registry.PackedRouting;
import org.elmline.core.registry.RegistryChannels.RoutingText;

/**
 * The routing document that a control host hands out: the one of its log, and before that is open the one it remembers.
 * After a loss of all hosts entries serve nobody without it, and opening and replaying the log takes a small host longer
 * than all before. What is remembered was committed, so it can only be old, as the log's own first state can.
 */
final class RoutingProvider {
    /** Pause before another try on a disk that took nothing. */
    private static final long WRITE_RETRY_NANOS = Duration.ofMillis(500).toNanos();

    private final PersistedValue<RoutingText> persistedRouting;
    private final RoutingText restored;
    private long persistedVersion;
    private long persistedAtNanos;
    private volatile RoutingStore store;
    private PackedRouting packed;

    RoutingProvider(PersistedValue<RoutingText> memory) {
        this.persistedRouting = memory;
        this.restored = memory.read().orElse(RoutingText.NONE);
        this.persistedVersion = restored.version();
    }

    /** Whether there is a document from the last start. */
    boolean hasRestored() {
        return restored.version() >= 0;
    }

    /** The log is open. */
    void attachStore(RoutingStore opened) {
        store = opened;
    }

    /** Version of {@link #current()}, -1 without a document. */
    long currentVersion() {
        return Math.max(logVersion(), restored.version());
    }

    /** The document; {@link RoutingText#NONE} where there is none. */
    RoutingText current() {
        return logVersion() >= restored.version()
                ? Optional.ofNullable(store).map(RoutingStore::current).orElse(RoutingText.NONE)
                : restored;
    }

    /** The document, packed once for all who ask. */
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

    /** Whether this host leads or hears a leader, and so a majority of the voters. */
    boolean hasQuorum() {
        return store != null && store.hasQuorum();
    }

    /** Keeps the log's document for the next start, when it is newer than what is kept. */
    void persist(long now) {
        long version = logVersion();
        boolean news = version > persistedVersion
                || (persistedRouting.lastWriteFailed() && now - persistedAtNanos >= WRITE_RETRY_NANOS);
        if (news && persistedRouting.tryWrite(store.current())) {
            persistedVersion = version;
            persistedAtNanos = now;
        }
    }
}
