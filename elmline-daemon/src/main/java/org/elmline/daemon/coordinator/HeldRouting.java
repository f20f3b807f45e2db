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
final class HeldRouting {
    /** Pause before another try on a disk that took nothing. */
    private static final long RETRY_NANOS = Duration.ofMillis(500).toNanos();

    private final Memory<RoutingText> memory;
    private final RoutingText remembered;
    private long written;
    private long writtenAt;
    private volatile RoutingStore store;
    private PackedRouting packed;

    HeldRouting(Memory<RoutingText> memory) {
        this.memory = memory;
        this.remembered = memory.read().orElse(RoutingText.NONE);
        this.written = remembered.version();
    }

    /** Whether there is a document from the last start. */
    boolean remembers() {
        return remembered.version() >= 0;
    }

    /** The log is open. */
    void open(RoutingStore opened) {
        store = opened;
    }

    /** Version of {@link #held()}, -1 without a document. */
    long heldVersion() {
        return Math.max(logVersion(), remembered.version());
    }

    /** The document; {@link RoutingText#NONE} where there is none. */
    RoutingText held() {
        return logVersion() >= remembered.version()
                ? Optional.ofNullable(store).map(RoutingStore::held).orElse(RoutingText.NONE)
                : remembered;
    }

    /** The document, packed once for all who ask. */
    synchronized PackedRouting packed() {
        RoutingText document = held();
        if (packed == null || packed.version() != document.version()) {
            packed = PackedRouting.of(document);
        }
        return packed;
    }

    private long logVersion() {
        return store == null ? -1 : store.heldVersion();
    }

    /** Whether this host leads or hears a leader, and so a majority of the voters. */
    boolean inQuorum() {
        return store != null && store.inQuorum();
    }

    /** Keeps the log's document for the next start, when it is newer than what is kept. */
    void remember(long now) {
        long version = logVersion();
        boolean news = version > written || (memory.lost() && now - writtenAt >= RETRY_NANOS);
        if (news && memory.write(store.held())) {
            written = version;
            writtenAt = now;
        }
    }
}
