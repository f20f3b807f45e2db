package org.elmline.daemon.coordinator;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;

import org.elmline.daemon.log.DecisionLog;
import org.elmline.storage.ChecksummedFile;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;

/**
 * A value that a control host persists in a file for its next start. Writes run on a thread of their own, so that a
 * disk that hangs blocks nothing else. Thread-safe.
 */
final class PersistedValue<T> implements AutoCloseable {
    private final String name;
    private final Class<T> type;
    private final ChecksummedFile file;
    private final DecisionLog log;
    private final AtomicBoolean writeInProgress = new AtomicBoolean();
    private volatile boolean lastWriteFailed;
    private final ExecutorService writer;

    /** @param name name of the value in log lines and in the writer thread's name */
    PersistedValue(String name, Class<T> type, ChecksummedFile file, DecisionLog log) {
        this.name = name;
        this.type = type;
        this.file = file;
        this.log = log;
        writer = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "memory-" + name);
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Returns the value written last; empty when the file is missing or damaged. */
    Optional<T> read() {
        Optional<byte[]> bytes = file.read();
        if (bytes.isEmpty()) {
            return Optional.empty();
        }
        if (Codecs.MESSAGE_PACK.decode(bytes.get(), type) instanceof Decoded.Value<T> decoded) {
            return Optional.of(decoded.value());
        }
        log.line("persisted value unreadable").with("of", name).write();
        return Optional.empty();
    }

    /** Whether the last write failed, so that the file holds an older value. */
    boolean lastWriteFailed() {
        return lastWriteFailed;
    }

    /** Starts to write a value; returns false while an earlier write is in progress. */
    boolean tryWrite(T value) {
        if (!writeInProgress.compareAndSet(false, true)) {
            return false;
        }
        writer.execute(() -> {
            try {
                file.write(Codecs.MESSAGE_PACK.encode(value));
                lastWriteFailed = false;
            } catch (IOException e) {
                lastWriteFailed = true;
                log.line("persisted value not written")
                        .with("of", name)
                        .with("why", e)
                        .write();
            } finally {
                writeInProgress.set(false);
            }
        });
        return true;
    }

    @Override
    public void close() {
        writer.shutdown();
    }
}
