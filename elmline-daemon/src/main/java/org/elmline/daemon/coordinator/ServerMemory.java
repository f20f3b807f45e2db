package org.elmline.daemon.coordinator;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;

import org.elmline.core.registry.Registration;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.storage.CheckedFile;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;

/**
 * The backend servers that a control host knew, kept in a file for its next start. Written by a thread of its own, so that
 * a disk that hangs holds up nothing else.
 */
final class ServerMemory implements AutoCloseable {
    static final String FILE = "servers";

    private final CheckedFile file;
    private final DecisionLog log;
    private final AtomicBoolean writing = new AtomicBoolean();
    private final ExecutorService writer = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "server-memory");
        thread.setDaemon(true);
        return thread;
    });

    /** What the file holds. */
    record Servers(List<Registration> servers) {
        Servers {
            servers = servers == null ? List.of() : List.copyOf(servers);
        }
    }

    ServerMemory(CheckedFile file, DecisionLog log) {
        this.file = file;
        this.log = log;
    }

    /** The servers of the last start; none where the file is missing or damaged. */
    List<Registration> read() {
        Optional<byte[]> bytes = file.read();
        if (bytes.isEmpty()) {
            return List.of();
        }
        if (Codecs.MESSAGE_PACK.decode(bytes.get(), Servers.class) instanceof Decoded.Value<Servers> known) {
            return known.value().servers();
        }
        log.line("remembered servers unreadable").write();
        return List.of();
    }

    /** Begins to write; false while the last writing goes on. */
    boolean write(List<Registration> servers) {
        if (!writing.compareAndSet(false, true)) {
            return false;
        }
        writer.execute(() -> {
            try {
                file.write(Codecs.MESSAGE_PACK.encode(new Servers(servers)));
            } catch (IOException e) {
                log.line("servers not written").with("why", e).write();
            } finally {
                writing.set(false);
            }
        });
        return true;
    }

    @Override
    public void close() {
        writer.shutdown();
    }
}
